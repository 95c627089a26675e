package org.bambooarch.core.routing.internal;

/** Columns that only the control thread uses: one row for each server, pool and service. */
public final class TargetState {

  /** Counters of each server. */
  public final ServerCounters[] serverCounters;

  /** Slots of each server, the upper bound of its limit. */
  public final int[] slots;

  /** Round trip to each server in nanoseconds. */
  public final long[] roundTripNanos;

  /** Whether a drain rule covers each server. */
  public final boolean[] drained;

  /** Moment after which a drained server gets no new work. */
  public final long[] drainEndsNanos;

  /** Adaptive limit of each server. */
  public final double[] limit;

  /** Smoothed latency of each server, 0 until the first answer. */
  public final double[] latencyNanos;

  /** Decayed count of answers of each server. */
  public final double[] answeredDecayed;

  /** Decayed count of failures of each server. */
  public final double[] failedDecayed;

  /** Whether each server is ejected. */
  public final boolean[] ejected;

  /** Moment at which each ejection ends. */
  public final long[] ejectedUntilNanos;

  /** Ejections of each server that have not been forgotten. */
  public final int[] ejectionCount;

  /** Moment at which each server's slow start ends. */
  public final long[] slowStartEndsNanos;

  /** Upper bound that a report put on each server's limit. */
  public final int[] reportedCap;

  /** Moment at which each server's report expires. */
  public final long[] reportExpiresNanos;

  /** Pools of each service, the local region first, then by distance. */
  public final ServerPool[][] pools;

  /** Counters of each pool. */
  public final PoolCounters[][] poolCounters;

  /** Part of each pool's room that may be used, from a small share to 1. */
  public final double[][] poolRamp;

  /** Time that each service's local pool has been without room. */
  public final long[] saturatedNanos;

  /** Time that each service's local pool has had room. */
  public final long[] spareCapacityNanos;

  /** Whether each service may use other regions. */
  public final boolean[] spilloverActive;

  /** Creates columns for the given number of servers and the given pools of each service. */
  public TargetState(int servers, ServerPool[][] pools) {
    serverCounters = new ServerCounters[servers];
    slots = new int[servers];
    roundTripNanos = new long[servers];
    drained = new boolean[servers];
    drainEndsNanos = new long[servers];
    limit = new double[servers];
    latencyNanos = new double[servers];
    answeredDecayed = new double[servers];
    failedDecayed = new double[servers];
    ejected = new boolean[servers];
    ejectedUntilNanos = new long[servers];
    ejectionCount = new int[servers];
    slowStartEndsNanos = new long[servers];
    reportedCap = new int[servers];
    reportExpiresNanos = new long[servers];
    this.pools = pools;
    poolCounters = new PoolCounters[pools.length][];
    poolRamp = new double[pools.length][];
    saturatedNanos = new long[pools.length];
    spareCapacityNanos = new long[pools.length];
    spilloverActive = new boolean[pools.length];
    for (int service = 0; service < pools.length; service++) {
      poolCounters[service] = new PoolCounters[pools[service].length];
      poolRamp[service] = new double[pools[service].length];
    }
  }

  /** Copies the row of a server that stays from the state before a change of configuration. */
  public void copyServer(int row, TargetState before, int rowBefore) {
    serverCounters[row] = before.serverCounters[rowBefore];
    limit[row] = before.limit[rowBefore];
    latencyNanos[row] = before.latencyNanos[rowBefore];
    answeredDecayed[row] = before.answeredDecayed[rowBefore];
    failedDecayed[row] = before.failedDecayed[rowBefore];
    ejected[row] = before.ejected[rowBefore];
    ejectedUntilNanos[row] = before.ejectedUntilNanos[rowBefore];
    ejectionCount[row] = before.ejectionCount[rowBefore];
    slowStartEndsNanos[row] = before.slowStartEndsNanos[rowBefore];
    reportedCap[row] = before.reportedCap[rowBefore];
    reportExpiresNanos[row] = before.reportExpiresNanos[rowBefore];
  }

  /** Copies the row of a service that stays. */
  public void copyService(int service, TargetState before, int serviceBefore) {
    saturatedNanos[service] = before.saturatedNanos[serviceBefore];
    spareCapacityNanos[service] = before.spareCapacityNanos[serviceBefore];
    spilloverActive[service] = before.spilloverActive[serviceBefore];
  }

  /** Copies the row of a pool that stays. */
  public void copyPool(int service, int pool, TargetState before, int serviceBefore, int at) {
    poolCounters[service][pool] = before.poolCounters[serviceBefore][at];
    poolRamp[service][pool] = before.poolRamp[serviceBefore][at];
  }
}
