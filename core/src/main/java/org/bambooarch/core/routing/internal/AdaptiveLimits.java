package org.bambooarch.core.routing.internal;

import org.bambooarch.core.routing.RoutingSettings;

/**
 * Adapts each server's concurrency limit to the load that the server can take.
 *
 * <p>Several instances share a server's few slots without knowing of each other. The limit grows at
 * a fixed rate while it is reached, and falls in proportion to the share of requests that the
 * server sheds (additive increase, multiplicative decrease; Chiu and Jain, 1989; in proportion to
 * the marks as in DCTCP, Alizadeh et al., 2010), so that the instances' limits converge to equal
 * parts.
 *
 * <p>Runs on the control thread only.
 */
public final class AdaptiveLimits {

  /** Weight of the newest mean in the smoothed latency. */
  private static final double LATENCY_WEIGHT = 0.3;

  /** Factor per tick without responses, so that a server that was slow once is tried again. */
  private static final double IDLE_LATENCY_DECAY = 0.995;

  /** Factor per tick on the counts of responses and failures. */
  private static final double COUNT_DECAY = 0.9;

  private static final double MAX_TRANSIT_FACTOR = 8;
  private static final double NANOS_PER_SECOND = 1e9;

  private AdaptiveLimits() {}

  /**
   * Collects the counters of all servers and updates limits, latencies and decayed counts.
   *
   * @param elapsedNanos time since the previous call, in nanoseconds
   */
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
   * Returns the number of requests in flight that keeps all slots of a server busy, including those
   * on the network.
   *
   * <p>By Little's law a server whose requests spend part of their time on the network can have
   * more of them in flight than it has slots.
   */
  static double maxInFlight(TargetState state, int server) {
    return state.slots[server] * transitFactor(state, server);
  }

  /**
   * Returns the total time of a request as a multiple of its time at the server, at most 8.
   *
   * <p>The growth of the limit is scaled by this factor too, so that a distant instance gets the
   * same throughput from a shared server as a near one.
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
