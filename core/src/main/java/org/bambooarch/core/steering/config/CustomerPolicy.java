package org.bambooarch.core.steering.config;

import java.util.Set;

/**
 * A customer with its keys, and its limits over all instances together.
 *
 * @param name unique name; servers see this name and never the key
 * @param keyDigests digests of the customer's valid keys
 * @param priority priority under load; 0 is the highest
 * @param requestsPerSecond sustained rate of requests; 0 for no limit
 * @param burstRequests requests that may arrive at once beyond the sustained rate
 * @param homeRegions the only regions that may serve the customer's requests
 */
public record CustomerPolicy(
    String name,
    Set<String> keyDigests,
    int priority,
    double requestsPerSecond,
    double burstRequests,
    HomeRegions homeRegions) {

  /** Makes unmodifiable copies of the collections. */
  public CustomerPolicy {
    keyDigests = Set.copyOf(keyDigests);
  }

  /** Returns whether the customer has a rate limit. */
  public boolean isLimited() {
    return requestsPerSecond > 0;
  }
}
