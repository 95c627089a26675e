package org.bambooarch.core.routing.internal;

import org.bambooarch.core.routing.RoutingSettings;

/**
 * Ejects failing servers for a while, up to a configured share of a service's servers.
 *
 * <p>The bound keeps a fault on this instance's side, such as a cut network cable, from ejecting
 * every server. An ejected server returns with a limit of 1 request and a slow start. Runs on the
 * control thread only.
 */
public final class OutlierEjection {

  /** Decayed count of requests from which the share of failures is considered. */
  private static final double MIN_SAMPLES = 8;

  private static final double FAILURE_SHARE_TO_EJECT = 0.5;

  /** The ejection time doubles at most this often. */
  private static final int MAX_DOUBLINGS = 3;

  private OutlierEjection() {}

  /** Returns servers whose ejection has ended and ejects the failing ones, service by service. */
  public static void update(TargetState state, RoutingSettings settings, long nowNanos) {
    for (ServerPool[] pools : state.pools) {
      int servers = 0;
      int ejected = 0;
      for (ServerPool pool : pools) {
        servers += pool.servers().length;
        ejected += countEjected(state, pool, settings, nowNanos);
      }
      int maxEjected = (int) (servers * settings.maxEjectedShare());
      for (ServerPool pool : pools) {
        ejected += ejectFailing(state, pool, settings, nowNanos, maxEjected - ejected);
      }
    }
  }

  /** Returns the number of servers still ejected, after ending the ejections that are due. */
  private static int countEjected(
      TargetState state, ServerPool pool, RoutingSettings settings, long nowNanos) {
    int ejected = 0;
    for (int server : pool.servers()) {
      if (state.ejected[server] && nowNanos - state.ejectedUntilNanos[server] >= 0) {
        readmit(state, settings, server, nowNanos);
      }
      if (state.ejected[server]) {
        ejected++;
      }
    }
    return ejected;
  }

  private static void readmit(
      TargetState state, RoutingSettings settings, int server, long nowNanos) {
    state.ejected[server] = false;
    state.slowStartEndsNanos[server] = nowNanos + settings.slowStartNanos();
    state.limit[server] = 1;
    state.answeredDecayed[server] = 0;
    state.failedDecayed[server] = 0;
    state.serverCounters[server].clearConsecutiveFailures();
  }

  /** Ejects at most {@code maxToEject} servers of a pool and returns how many it ejected. */
  private static int ejectFailing(
      TargetState state, ServerPool pool, RoutingSettings settings, long nowNanos, int maxToEject) {
    int ejected = 0;
    for (int server : pool.servers()) {
      if (state.ejected[server]) {
        continue;
      }
      if (!isFailing(state, settings, server, nowNanos)) {
        resetEjectionCount(state, server, nowNanos);
        continue;
      }
      if (ejected >= maxToEject) {
        return ejected;
      }
      eject(state, settings, server, nowNanos);
      ejected++;
    }
    return ejected;
  }

  /** During slow start, one failure is enough. */
  private static boolean isFailing(
      TargetState state, RoutingSettings settings, int server, long nowNanos) {
    boolean inSlowStart = nowNanos - state.slowStartEndsNanos[server] < 0;
    int failuresAllowed = inSlowStart ? 1 : settings.consecutiveFailuresToEject();
    if (state.serverCounters[server].consecutiveFailures() >= failuresAllowed) {
      return true;
    }
    double samples = state.answeredDecayed[server] + state.failedDecayed[server];
    return samples >= MIN_SAMPLES
        && state.failedDecayed[server] >= FAILURE_SHARE_TO_EJECT * samples;
  }

  private static void eject(
      TargetState state, RoutingSettings settings, int server, long nowNanos) {
    int doublings = Math.min(MAX_DOUBLINGS, state.ejectionCount[server]);
    state.ejected[server] = true;
    state.ejectedUntilNanos[server] = nowNanos + (settings.ejectionNanos() << doublings);
    state.ejectionCount[server]++;
  }

  /** Outside of slow start, a healthy server starts again from the shortest ejection time. */
  private static void resetEjectionCount(TargetState state, int server, long nowNanos) {
    if (nowNanos - state.slowStartEndsNanos[server] >= 0) {
      state.ejectionCount[server] = 0;
    }
  }
}
