package org.bambooarch.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * When the store acknowledged each change that instances must act on, when it was silent, and when
 * something unplanned happened. Safe for use by several threads.
 */
final class PlayedChanges {

  /**
   * A configuration.
   *
   * @param movedTo service of the route that configurations move
   * @param homes regions of each route and customer that has homes, by its name
   * @param sentNanos steady clock before it was written
   * @param ackNanos steady clock when the store had acknowledged it
   */
  record Configuration(
      String movedTo, Map<String, Set<String>> homes, long sentNanos, long ackNanos) {

    Configuration {
      homes = Map.copyOf(homes);
    }

    /** Returns whether requests on a route, or of a customer, may run in a region. */
    boolean allows(String name, String region) {
      Set<String> regions = homes.getOrDefault(name, Set.of());
      return regions.isEmpty() || regions.contains(region);
    }
  }

  /** A time by the steady clock. */
  private record Span(long beginNanos, long endNanos) {

    boolean touches(long sinceNanos, long untilNanos) {
      return beginNanos - untilNanos < 0 && endNanos - sinceNanos > 0;
    }
  }

  private final List<Configuration> configurations = new ArrayList<>();
  private final List<Span> silences = new ArrayList<>();
  private final List<Span> unplanned = new ArrayList<>();
  private final Map<String, Long> leavingAckNanos = new ConcurrentHashMap<>();

  synchronized void onConfiguration(Configuration configuration) {
    configurations.add(configuration);
  }

  /** Records that a server has said that it leaves, or that its entry is gone. */
  void onLeaving(String server, long ackNanos) {
    leavingAckNanos.put(server, ackNanos);
  }

  /** Records a time in which the store gave no responses. */
  synchronized void onSilence(long beginNanos, long endNanos) {
    silences.add(new Span(beginNanos, endNanos));
  }

  /**
   * Records a time in which something happened that no operator plans, such as a killed process.
   */
  synchronized void onUnplanned(long beginNanos, long endNanos) {
    unplanned.add(new Span(beginNanos, endNanos));
  }

  /** Returns all configurations, oldest first. */
  synchronized List<Configuration> configurations() {
    return List.copyOf(configurations);
  }

  /** Returns when the leaving of a server was acknowledged, or null if it has not left. */
  Long leavingAckNanos(String server) {
    return leavingAckNanos.get(server);
  }

  /** Returns whether the store was silent at some moment of a span. */
  synchronized boolean isSilentWithin(long beginNanos, long endNanos) {
    return silences.stream().anyMatch(silence -> silence.touches(beginNanos, endNanos));
  }

  /** Returns whether something unplanned happened at some moment of a span. */
  synchronized boolean isUnplannedWithin(long beginNanos, long endNanos) {
    return unplanned.stream().anyMatch(each -> each.touches(beginNanos, endNanos));
  }
}
