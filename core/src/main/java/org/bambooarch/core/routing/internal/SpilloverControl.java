package org.bambooarch.core.routing.internal;

import org.bambooarch.core.routing.RoutingSettings;

/**
 * Starts and ends the use of other regions, with hysteresis, and ramps up the load sent there.
 *
 * <p>Caches in the other region are cold for the load that moves, so the usable share of its
 * capacity grows in steps. A service without servers in the local region always uses other regions,
 * and one whose local servers have no capacity or are being drained uses them at once. Runs on the
 * control thread only.
 */
public final class SpilloverControl {

  /** Share of another region's limit that may be used when spillover starts. */
  static final double RAMP_START = 0.25;

  /** Applies while requests find no capacity in the other region's open share. */
  private static final double RAMP_GROWTH_PER_SECOND = 0.4;

  /** Applies while no request is in flight in the other region. */
  private static final double RAMP_DECAY_PER_SECOND = 0.05;

  /** The local pool has spare capacity while less than this share of its limit is in flight. */
  private static final double SPARE_CAPACITY_MAX_LOAD = 0.8;

  /** The local pool is saturated while more than this share of requests finds no capacity in it. */
  private static final double SATURATED_NO_ROOM_SHARE = 0.3;

  private static final double NANOS_PER_SECOND = 1e9;

  private SpilloverControl() {}

  /** Returns the usable share of a pool's limit before any load was sent there, up to 1. */
  public static double initialRamp(boolean remote) {
    return remote ? RAMP_START : 1;
  }

  /**
   * Updates the spillover state of all services and the ramps of all pools in other regions.
   *
   * @param localLimit limit of each service's pool in the local region, 0 if it has none
   * @param elapsedNanos time since the previous call, in nanoseconds
   */
  public static void update(
      TargetState state, RoutingSettings settings, int[] localLimit, long elapsedNanos) {
    for (int service = 0; service < state.pools.length; service++) {
      updateSpillover(state, settings, service, localLimit[service], elapsedNanos);
      updateRamps(state, service, elapsedNanos / NANOS_PER_SECOND);
    }
  }

  private static void updateSpillover(
      TargetState state, RoutingSettings settings, int service, int localLimit, long elapsed) {
    if (state.pools[service].length == 0 || state.pools[service][0].remote()) {
      state.spilloverActive[service] = true;
      return;
    }
    PoolCounters local = state.poolCounters[service][0];
    int noRoom = local.takeNoRoom();
    int chosen = local.takeChosen();
    if (noRoom > SATURATED_NO_ROOM_SHARE * (noRoom + chosen)) {
      state.saturatedNanos[service] += elapsed;
      state.spareCapacityNanos[service] = 0;
    } else {
      state.saturatedNanos[service] = 0;
      boolean hasSpareCapacity = local.inFlight() < SPARE_CAPACITY_MAX_LOAD * localLimit;
      state.spareCapacityNanos[service] =
          hasSpareCapacity ? state.spareCapacityNanos[service] + elapsed : 0;
    }
    boolean isSaturated =
        state.saturatedNanos[service] >= spilloverAfterNanos(state, settings, service);
    if (localLimit == 0 || isSaturated || isDraining(state, state.pools[service][0])) {
      state.spilloverActive[service] = true;
    } else if (state.spareCapacityNanos[service] >= settings.spilloverEndsAfterNanos()) {
      state.spilloverActive[service] = false;
    }
  }

  /**
   * Returns how long the local pool must be saturated before spillover starts: at least twice the
   * round trip to the nearest other region, because waiting for a free local slot is better than a
   * path that takes longer than the wait.
   */
  private static long spilloverAfterNanos(
      TargetState state, RoutingSettings settings, int service) {
    if (state.pools[service].length < 2) {
      return settings.spilloverAfterNanos();
    }
    int nearest = state.pools[service][1].servers()[0];
    return Math.max(settings.spilloverAfterNanos(), 2 * state.roundTripNanos[nearest]);
  }

  private static boolean isDraining(TargetState state, ServerPool pool) {
    for (int server : pool.servers()) {
      if (state.drained[server]) {
        return true;
      }
    }
    return false;
  }

  private static void updateRamps(TargetState state, int service, double elapsedSeconds) {
    for (int pool = 0; pool < state.pools[service].length; pool++) {
      if (!state.pools[service][pool].remote()) {
        continue;
      }
      PoolCounters counters = state.poolCounters[service][pool];
      double ramp = state.poolRamp[service][pool];
      if (counters.takeNoRoom() > 0) {
        ramp += RAMP_GROWTH_PER_SECOND * elapsedSeconds;
      } else if (counters.inFlight() == 0) {
        ramp -= RAMP_DECAY_PER_SECOND * elapsedSeconds;
      }
      state.poolRamp[service][pool] = Math.max(RAMP_START, Math.min(1, ramp));
    }
  }
}
