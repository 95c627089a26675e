package org.bambooarch.core.steering.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * How often this instance may send requests of a service to a further server.
 *
 * <p>Each first send earns a part of a further one. The fleet's allowance is a ratio of the
 * requests, so instances that each keep the ratio keep it together.
 *
 * <p>Not thread-safe.
 */
public final class ServiceRetryBudgets {

  /** Part of the allowed ratio that is used, for requests that the fleet counts later. */
  static final double USED_RATIO_FRACTION = 0.7;

  /** Further sends of a service at the start, so that a first failure is not the caller's. */
  private static final double INITIAL_TOKENS = 1;

  private final double ratio;
  private final double capacity;
  private final Map<String, Double> tokens = new HashMap<>();

  /**
   * Creates an allowance.
   *
   * @param allowedRatio further sends per request that the whole fleet may make
   * @param slackSends further sends on top that this instance may have saved up
   */
  public ServiceRetryBudgets(double allowedRatio, double slackSends) {
    this.ratio = allowedRatio * USED_RATIO_FRACTION;
    this.capacity = Math.max(1, slackSends);
  }

  /** Counts a first send. */
  public void onFirstSend(String service) {
    tokens.put(service, Math.min(capacity, availableTokens(service) + ratio));
  }

  /** Takes the right to send a request of a service once more, if there is one. */
  public boolean tryTake(String service) {
    double availableTokens = availableTokens(service);
    if (availableTokens < 1) {
      return false;
    }
    tokens.put(service, availableTokens - 1);
    return true;
  }

  private double availableTokens(String service) {
    return tokens.getOrDefault(service, INITIAL_TOKENS);
  }
}
