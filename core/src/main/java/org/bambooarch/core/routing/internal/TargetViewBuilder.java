package org.bambooarch.core.routing.internal;

import org.bambooarch.core.routing.RoutingSettings;

/** Builds the {@link TargetView} that request threads read from the control thread's state. */
public final class TargetViewBuilder {

  /**
   * Time in which the limit of a server that begins to drain falls to 0, so that its load moves to
   * other servers in steps.
   */
  public static final long DRAIN_RAMP_NANOS = 2_000_000_000L;

  private TargetViewBuilder() {}

  /** Returns the view at the given monotonic time. */
  public static TargetView build(TargetState state, RoutingSettings settings, long nowNanos) {
    int servers = state.serverCounters.length;
    int[] limit = new int[servers];
    long[] latencyNanos = new long[servers];
    for (int server = 0; server < servers; server++) {
      limit[server] = limitNow(state, settings, server, nowNanos);
      latencyNanos[server] =
          Math.max(state.roundTripNanos[server], (long) state.latencyNanos[server]);
    }
    return new TargetView(
        limit, latencyNanos, poolLimits(state, limit), state.spilloverActive.clone());
  }

  private static int[][] poolLimits(TargetState state, int[] limit) {
    int[][] poolLimit = new int[state.pools.length][];
    for (int service = 0; service < state.pools.length; service++) {
      poolLimit[service] = new int[state.pools[service].length];
      for (int pool = 0; pool < poolLimit[service].length; pool++) {
        int sum = 0;
        for (int server : state.pools[service][pool].servers()) {
          sum += limit[server];
        }
        poolLimit[service][pool] = (int) Math.ceil(sum * state.poolRamp[service][pool]);
      }
    }
    return poolLimit;
  }

  /** Returns the adaptive limit, lowered by ejection, slow start, a report or a drain. */
  private static int limitNow(
      TargetState state, RoutingSettings settings, int server, long nowNanos) {
    if (state.ejected[server]) {
      return 0;
    }
    double limit = state.limit[server];
    long slowStartLeft = state.slowStartEndsNanos[server] - nowNanos;
    if (slowStartLeft > 0) {
      double part = 1 - (double) slowStartLeft / settings.slowStartNanos();
      limit = Math.min(limit, Math.max(1, AdaptiveLimits.maxInFlight(state, server) * part));
    }
    if (state.reportExpiresNanos[server] - nowNanos > 0) {
      limit = Math.min(limit, state.reportedCap[server]);
    }
    if (!state.drained[server]) {
      return (int) limit;
    }
    long drainLeft = state.drainEndsNanos[server] - nowNanos;
    if (drainLeft <= 0) {
      return 0;
    }
    return (int) Math.ceil(limit * drainLeft / DRAIN_RAMP_NANOS);
  }
}
