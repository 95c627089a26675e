package org.bambooarch.core.steering.place;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How long servers need for a request, with and without having handled its object lately.
 *
 * <p>A server counts as warm for an object if this instance had an answer for the object from it
 * within {@link #WARM_NANOS}, or if it is among the first servers of the object, where all
 * instances send it.
 *
 * <p>Not thread-safe.
 */
final class ProcessingTimes {

  /** How long a server is taken to remember an object, in nanoseconds: 20 s. */
  static final long WARM_NANOS = 20_000_000_000L;

  /** Servers that are taken to know an object because all instances send it there first. */
  static final int SHARED_WARM_RANKS = 1;

  /** Warm and cold time that are assumed before any was measured, in nanoseconds. */
  private static final double DEFAULT_WARM_NANOS = 150e6;

  private static final double DEFAULT_COLD_NANOS = 400e6;

  /** Weight of one answer in the averages. */
  private static final double SAMPLE_WEIGHT = 0.04;

  private static final int MAX_REMEMBERED_ANSWERS = 8_192;

  private static final class Averages {
    private double warmNanos;
    private double coldNanos;
  }

  private final Map<String, Averages> averagesByService = new HashMap<>();
  private final Map<Long, Long> lastAnswerNanos =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_REMEMBERED_ANSWERS;
        }
      };

  /** Returns whether this instance had an answer for the object from the server lately. */
  boolean isKnownWarm(long objectHash, ServerState server, long nowNanos) {
    Long answeredNanos = lastAnswerNanos.get(server.rendezvousScore(objectHash));
    return answeredNanos != null && nowNanos - answeredNanos < WARM_NANOS;
  }

  /** Takes in the time from sending a request to its answer, if it met no queue. */
  void onServed(
      String service, long objectHash, ServerState server, long tookNanos, long nowNanos) {
    Averages averages = averagesByService.computeIfAbsent(service, name -> new Averages());
    if (isKnownWarm(objectHash, server, nowNanos)) {
      averages.warmNanos = average(averages.warmNanos, tookNanos);
    } else {
      averages.coldNanos = average(averages.coldNanos, tookNanos);
    }
    lastAnswerNanos.put(server.rendezvousScore(objectHash), nowNanos);
  }

  /** Notes an answer whose time says nothing, because the request met a queue. */
  void onServedAfterQueue(long objectHash, ServerState server, long nowNanos) {
    lastAnswerNanos.put(server.rendezvousScore(objectHash), nowNanos);
  }

  private static double average(double old, double sample) {
    return old == 0 ? sample : old + SAMPLE_WEIGHT * (sample - old);
  }

  /** Returns the time that a warm server needs, in nanoseconds. */
  double warmNanos(String service) {
    Averages averages = averagesByService.get(service);
    if (averages == null) {
      return DEFAULT_WARM_NANOS;
    }
    if (averages.warmNanos > 0) {
      return averages.warmNanos;
    }
    return Math.min(DEFAULT_WARM_NANOS, averages.coldNanos);
  }

  /** Returns the time that a server needs for an object that it does not know, in nanoseconds. */
  double coldNanos(String service) {
    Averages averages = averagesByService.get(service);
    double cold =
        averages == null || averages.coldNanos == 0 ? DEFAULT_COLD_NANOS : averages.coldNanos;
    return Math.max(cold, warmNanos(service));
  }
}
