package org.bambooarch.core.routing.internal;

import org.bambooarch.core.routing.RoutingSettings;

/**
 * Adapts each server's limit to what the server bears.
 *
 * <p>Several instances share a server's few slots without knowing of each other. The limit grows by
 * a fixed step while it is fully used, and falls in proportion to the share of requests that the
 * server sheds (additive increase, multiplicative decrease; Chiu and Jain, 1989; in proportion to
 * the marks as in DCTCP, Alizadeh et al., 2010), so that the instances' limits converge to equal
 * parts.
 */
public final class AdaptiveLimits {

  private static final double LATENCY_WEIGHT = 0.3;
  private static final double IDLE_LATENCY_DECAY = 0.995;
  private static final double COUNT_DECAY = 0.9;
  private static final double MAX_TRANSIT_FACTOR = 8;
  private static final double NANOS_PER_SECOND = 1e9;

  private AdaptiveLimits() {}

  /** Runs over all servers once. */
  public static void update(TargetState state, RoutingSettings settings, long elapsedNanos) {
    double growth = settings.limitGrowthSlotsPerSecond() * elapsedNanos / NANOS_PER_SECOND;
    for (int server = 0; server < state.serverCounters.length; server++) {
      ServerCounters counters = state.serverCounters[server];
      int answered = counters.takeAnswered();
      adaptLimit(state, settings, server, answered, growth);
      smoothLatency(state, server, answered, counters.takeLatencySumNanos());
      state.answeredDecayed[server] = state.answeredDecayed[server] * COUNT_DECAY + answered;
      state.failedDecayed[server] =
          state.failedDecayed[server] * COUNT_DECAY + counters.takeFailed();
    }
  }

  private static void adaptLimit(
      TargetState state, RoutingSettings settings, int server, int answered, double growth) {
    int sheds = state.serverCounters[server].takeSheds();
    int limitHits = state.serverCounters[server].takeLimitHits();
    double limit = state.limit[server];
    if (sheds > 0) {
      double shedShare = (double) sheds / (sheds + answered);
      limit *= 1 - settings.limitBackoff() * shedShare;
    }
    if (limitHits > 0 && answered > 0) {
      limit += growth * transitFactor(state, server);
    }
    state.limit[server] = Math.max(1, Math.min(maxInFlight(state, server), limit));
  }

  /**
   * Returns the requests that keep all slots of a server busy, those on the way included.
   *
   * <p>By Little's law a server whose requests spend part of their time on the way bears more of
   * them in flight than it has slots.
   */
  static double maxInFlight(TargetState state, int server) {
    return state.slots[server] * transitFactor(state, server);
  }

  /**
   * Returns the whole time of a request as a multiple of its time at the server.
   *
   * <p>Growth scales with it too, so that a distant instance gets the same throughput from a shared
   * server as a near one.
   */
  private static double transitFactor(TargetState state, int server) {
    double latency = state.latencyNanos[server];
    double atServer = latency - state.roundTripNanos[server];
    return atServer <= 0 ? 1 : Math.min(MAX_TRANSIT_FACTOR, latency / atServer);
  }

  private static void smoothLatency(TargetState state, int server, int answered, long sumNanos) {
    double before = state.latencyNanos[server];
    if (answered == 0) {
      state.latencyNanos[server] = before * IDLE_LATENCY_DECAY;
      return;
    }
    double mean = (double) sumNanos / answered;
    state.latencyNanos[server] = before == 0 ? mean : before + LATENCY_WEIGHT * (mean - before);
  }
}
