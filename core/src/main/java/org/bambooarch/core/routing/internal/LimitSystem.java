package org.bambooarch.core.routing.internal;

import org.bambooarch.core.routing.RoutingSettings;

/**
 * Adapts each server's limit to what the server bears.
 *
 * <p>Several instances share a server's few slots without knowing of each other. The limit grows by
 * a fixed step while it is fully used, and falls by a factor when the server sheds load (additive
 * increase, multiplicative decrease; Chiu and Jain, 1989), so that the instances' limits converge
 * to equal parts.
 */
public final class LimitSystem {

  private static final double LATENCY_WEIGHT = 0.3;
  private static final double IDLE_LATENCY_DECAY = 0.995;
  private static final double COUNT_DECAY = 0.9;
  private static final double NANOS_PER_SECOND = 1e9;

  private LimitSystem() {}

  /** Runs over all servers once. */
  public static void run(TargetState state, RoutingSettings settings, long elapsedNanos) {
    double growth = settings.limitGrowthSlotsPerSecond() * elapsedNanos / NANOS_PER_SECOND;
    for (int server = 0; server < state.cells.length; server++) {
      ServerCell cell = state.cells[server];
      int answered = cell.takeAnswered();
      adaptLimit(state, settings, server, answered, growth);
      smoothLatency(state, server, answered, cell.takeLatencySumNanos());
      state.answeredDecayed[server] = state.answeredDecayed[server] * COUNT_DECAY + answered;
      state.failedDecayed[server] = state.failedDecayed[server] * COUNT_DECAY + cell.takeFailed();
    }
  }

  private static void adaptLimit(
      TargetState state, RoutingSettings settings, int server, int answered, double growth) {
    int sheds = state.cells[server].takeSheds();
    int fullHits = state.cells[server].takeFullHits();
    double limit = state.limit[server];
    if (sheds > 0) {
      limit *= settings.limitBackoff();
    } else if (fullHits > 0 && answered > 0) {
      limit += growth;
    }
    state.limit[server] = Math.max(1, Math.min(state.slots[server], limit));
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
