package org.bambooarch.core.routing;

import java.util.List;

/** The answer to a caller that asks which entry instance to use. */
public sealed interface LookupAnswer {

  /**
   * Instances to try in this order.
   *
   * @param ordered the best instance first, never empty
   */
  record Instances(List<EntryInstance> ordered) implements LookupAnswer {}

  /**
   * No instance may be used now within the caps of the links.
   *
   * @param retryAfterMillis when to ask again, in milliseconds from now
   */
  record ComeBack(long retryAfterMillis) implements LookupAnswer {}
}
