package org.bambooarch.core.routing.internal;

/**
 * State of the servers, pools and services of a target table, as one array for each attribute,
 * indexed by server, by service, or by service and pool.
 *
 * <p>Only the control thread writes the arrays. The counters in them are shared with request
 * threads.
 */
public final class TargetState {

  /** Counters of each server, shared with request threads. */
  public final ServerCounters[] serverCounters;

  /** Requests that each server runs at once; bounds its limit, see {@link AdaptiveLimits}. */
  public final int[] slots;

  /** Network round trip to each server. */
  public final long[] roundTripNanos;

  /** Whether a drain rule covers the server. */
  public final boolean[] drained;

  /** Monotonic time from which a drained server gets no new requests. */
  public final long[] drainEndsNanos;

  /** Adaptive concurrency limit of each server, in requests. */
  public final double[] limit;

  /** Smoothed latency of each server, 0 until the first response. */
  public final double[] latencyNanos;

  /** Exponentially decayed number of complete responses of each server. */
  public final double[] answeredDecayed;

  /** Exponentially decayed number of failures of each server. */
  public final double[] failedDecayed;

  /** Whether the server is ejected because of failures. */
  public final boolean[] ejected;

  /** Monotonic time at which the ejection of a server ends. */
  public final long[] ejectedUntilNanos;

  /** Number of ejections of each server since it was last healthy outside of slow start. */
  public final int[] ejectionCount;

  /** Monotonic time at which the slow start of a server ends. */
  public final long[] slowStartEndsNanos;

  /** Upper bound on a server's limit that follows from its last report. */
  public final int[] reportedCap;

  /** Monotonic time until which {@link #reportedCap} applies. */
  public final long[] reportExpiresNanos;

  /** Pools of each service, the local region first, the others by distance. */
  public final ServerPool[][] pools;

  /** Counters of each pool, shared with request threads. */
  public final PoolCounters[][] poolCounters;

  /**
   * Share of each pool's limit that may be used: 1 for a local pool, from {@link
   * SpilloverControl#RAMP_START} to 1 for one in another region.
   */
  public final double[][] poolRamp;

  /** Time for which each service's local pool has been saturated without a break. */
  public final long[] saturatedNanos;

  /** Time for which each service's local pool has had spare capacity without a break. */
  public final long[] spareCapacityNanos;

  /** Whether requests to the service may use servers in other regions. */
  public final boolean[] spilloverActive;

  /**
   * Creates arrays with default values; {@code serverCounters} and {@code poolCounters} hold null
   * until the caller fills them.
   *
   * @param servers number of servers
   * @param pools pools of each service
   */
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

  /** Copies the state of a server that was in the table before a change of configuration. */
  public void copyServer(int server, TargetState before, int serverBefore) {
    serverCounters[server] = before.serverCounters[serverBefore];
    limit[server] = before.limit[serverBefore];
    latencyNanos[server] = before.latencyNanos[serverBefore];
    answeredDecayed[server] = before.answeredDecayed[serverBefore];
    failedDecayed[server] = before.failedDecayed[serverBefore];
    ejected[server] = before.ejected[serverBefore];
    ejectedUntilNanos[server] = before.ejectedUntilNanos[serverBefore];
    ejectionCount[server] = before.ejectionCount[serverBefore];
    slowStartEndsNanos[server] = before.slowStartEndsNanos[serverBefore];
    reportedCap[server] = before.reportedCap[serverBefore];
    reportExpiresNanos[server] = before.reportExpiresNanos[serverBefore];
  }

  /** Copies the state of a service that was in the table before a change of configuration. */
  public void copyService(int service, TargetState before, int serviceBefore) {
    saturatedNanos[service] = before.saturatedNanos[serviceBefore];
    spareCapacityNanos[service] = before.spareCapacityNanos[serviceBefore];
    spilloverActive[service] = before.spilloverActive[serviceBefore];
  }

  /** Copies the state of a pool that was in the table before a change of configuration. */
  public void copyPool(
      int service, int pool, TargetState before, int serviceBefore, int poolBefore) {
    poolCounters[service][pool] = before.poolCounters[serviceBefore][poolBefore];
    poolRamp[service][pool] = before.poolRamp[serviceBefore][poolBefore];
  }
}
