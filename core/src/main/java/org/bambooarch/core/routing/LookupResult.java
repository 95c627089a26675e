package org.bambooarch.core.routing;

import java.util.List;

/** The answer to a caller that asks which entry instance to use. */
public sealed interface LookupResult {

  /**
   * Instances to try in this order.
   *
   * @param ordered the best instance first, never empty
   */
  record Instances(List<InstanceCandidate> ordered) implements LookupResult {}

  /**
   * No instance may be used now within the caps of the links.
   *
   * @param retryAfterMillis when to ask again, in milliseconds from now
   */
  record RetryLater(long retryAfterMillis) implements LookupResult {}
}
