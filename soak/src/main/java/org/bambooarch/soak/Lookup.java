package org.bambooarch.soak;

import java.util.List;
import java.util.Set;

/**
 * A client's search for instances, which asks one instance after another until one answers.
 *
 * @param host the host that the client wants to call
 * @param tries the instances that were asked; only the last one may have answered
 * @param namedRegions regions of the instances that were named; empty if none answered
 * @param askedNanos steady clock before the first try
 */
record Lookup(
    String host, String clientRegion, List<Try> tries, Set<String> namedRegions, long askedNanos) {

  /**
   * One call.
   *
   * @param instance name of the asked instance
   * @param state what it was doing when it was asked
   */
  record Try(String instance, InstanceGroup.State state, boolean answered) {}

  boolean failed() {
    return namedRegions.isEmpty();
  }
}
