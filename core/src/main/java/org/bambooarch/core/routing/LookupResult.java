package org.bambooarch.core.routing;

import java.util.List;

/** The outcome of a look-up: the entry instances that a caller should use, or when to ask again. */
public sealed interface LookupResult {

  /**
   * Instances that the caller should try in the given order.
   *
   * @param ordered instances, the best first; never empty
   */
  record Instances(List<InstanceCandidate> ordered) implements LookupResult {}

  /**
   * No instance can be named now: none is available in a reachable region, or all would be reached
   * over links on which the share for callers from other regions is used up.
   *
   * @param retryAfterMillis delay in milliseconds after which the caller may ask again
   */
  record RetryLater(long retryAfterMillis) implements LookupResult {}
}
