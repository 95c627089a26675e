package org.bambooarch.core.steering.place;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the fraction of a service's requests that leave their preferred region because no server
 * of it has capacity.
 *
 * <p>Requests that overflow have no effect on {@link RegionSpillover}, so they come on top of what
 * its steps move. Together they must stay below the fraction of a region's requests that may change
 * their region within 2 s.
 *
 * <p>Not thread-safe.
 */
final class OverflowBudget {

  /** Fraction of the requests that may overflow. */
  static final double MAX_FRACTION = 0.05;

  /** Largest number of requests that may overflow at once. */
  private static final double MAX_TOKENS = 4;

  private final Map<String, Double> tokensByService = new HashMap<>();

  /** Adds what one request earns. */
  void onRequest(String service) {
    tokensByService.put(service, Math.min(MAX_TOKENS, tokens(service) + MAX_FRACTION));
  }

  /** Returns whether a request of the service may overflow now. */
  boolean mayOverflow(String service) {
    return tokens(service) >= 1;
  }

  /** Takes what an overflowing request costs. */
  void onOverflow(String service) {
    tokensByService.put(service, tokens(service) - 1);
  }

  private double tokens(String service) {
    return tokensByService.getOrDefault(service, 1.0);
  }
}
