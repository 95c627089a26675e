package org.bambooarch.core.steering.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * The retry budgets of this instance, one for each service: how often requests may be sent again.
 *
 * <p>Each first send of a request earns a fraction of a retry. The fleet's limit is a ratio of
 * retries to requests, so instances that each keep to the ratio also keep to it together.
 *
 * <p>Not thread-safe.
 */
public final class ServiceRetryBudgets {

  /** Fraction of the allowed ratio that is used, since the fleet counts some requests later. */
  static final double USED_RATIO_FRACTION = 0.7;

  /** Retries of a service at the start, so that a first failure is retried, not passed on. */
  private static final double INITIAL_TOKENS = 1;

  private final double ratio;
  private final double capacity;
  private final Map<String, Double> tokens = new HashMap<>();

  /**
   * Creates the budgets.
   *
   * @param allowedRatio retries per request that the whole fleet may make
   * @param slackSends largest number of retries that this instance may save up for a service; at
   *     least one is always possible
   */
  public ServiceRetryBudgets(double allowedRatio, double slackSends) {
    this.ratio = allowedRatio * USED_RATIO_FRACTION;
    this.capacity = Math.max(1, slackSends);
  }

  /** Adds the fraction of a retry that the first send of a request earns. */
  public void onFirstSend(String service) {
    tokens.put(service, Math.min(capacity, availableTokens(service) + ratio));
  }

  /** Takes one retry from the budget of a service; returns false if less than one is left. */
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
