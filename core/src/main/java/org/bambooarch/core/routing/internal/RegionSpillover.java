package org.bambooarch.core.routing.internal;

import org.bambooarch.core.routing.RoutingSettings;

/**
 * Opens and closes the use of other regions, with hysteresis, and ramps the load sent there.
 *
 * <p>Caches in the other region are cold for the load that moves, so its room is opened in steps.
 */
public final class RegionSpillover {

  /** Part of another region's room that is open when a shift begins. */
  static final double RAMP_START = 0.25;

  private static final double RAMP_GROWTH_PER_SECOND = 0.4;
  private static final double RAMP_DECAY_PER_SECOND = 0.05;
  private static final double SPARE_CAPACITY_MAX_LOAD = 0.8;
  private static final double SATURATED_NO_ROOM_SHARE = 0.3;
  private static final double NANOS_PER_SECOND = 1e9;

  private RegionSpillover() {}

  /** Returns the ramp of a pool before any load was sent there. */
  public static double initialRamp(boolean remote) {
    return remote ? RAMP_START : 1;
  }

  /** Runs over all services once; {@code localLimit} is the room of each local pool. */
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

  /** Waiting for local room is better than a way that takes longer than the wait. */
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
