package org.bambooarch.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * When the store acknowledged each change that instances must act on, and when it was silent. Safe
 * for use by several threads.
 */
final class PlayedChanges {

  /**
   * A configuration.
   *
   * @param movedTo service of the route that configurations move
   * @param sentNanos steady clock before it was written
   * @param ackNanos steady clock when the store had acknowledged it
   */
  record Configuration(String movedTo, long sentNanos, long ackNanos) {}

  /** A time in which the store gave no responses, by the steady clock. */
  record Silence(long beginNanos, long endNanos) {}

  private final List<Configuration> configurations = new ArrayList<>();
  private final List<Silence> silences = new ArrayList<>();
  private final Map<String, Long> leavingAckNanos = new ConcurrentHashMap<>();

  synchronized void onConfiguration(String movedTo, long sentNanos, long ackNanos) {
    configurations.add(new Configuration(movedTo, sentNanos, ackNanos));
  }

  /** Records that a server has said that it leaves, or that its entry is gone. */
  void onLeaving(String server, long ackNanos) {
    leavingAckNanos.put(server, ackNanos);
  }

  synchronized void onSilence(long beginNanos, long endNanos) {
    silences.add(new Silence(beginNanos, endNanos));
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
    return silences.stream()
        .anyMatch(
            silence -> silence.beginNanos() - endNanos < 0 && silence.endNanos() - beginNanos > 0);
  }
}
