package org.bambooarch.core.steering.place;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Average times that the servers of a service need to process a request: one for servers that are
 * warm for its object, which have handled it recently, and one for servers that are not.
 *
 * <p>They are kept for each service, from which queueing times follow, and for each route of a
 * service, whose requests may take much longer or shorter than those of other routes.
 *
 * <p>A server counts as warm for an object if this instance got a response for the object from it
 * within {@link #WARM_NANOS}, or if it is among the first {@link #SHARED_WARM_RANKS} servers in the
 * object's ranking, to which all instances send its requests.
 *
 * <p>Not thread-safe.
 */
final class ProcessingTimes {

  /** Time for which a server is assumed to keep an object warm, in nanoseconds: 20 s. */
  static final long WARM_NANOS = 20_000_000_000L;

  /**
   * Number of first servers in an object's ranking that are assumed to be warm for it, because all
   * instances send its requests there first.
   */
  static final int SHARED_WARM_RANKS = 1;

  /** Processing time at a warm server before one was measured, in nanoseconds: 150 ms. */
  private static final double DEFAULT_WARM_NANOS = 150e6;

  /**
   * Processing time at a server that is not warm before one was measured, in nanoseconds: 400 ms.
   */
  private static final double DEFAULT_COLD_NANOS = 400e6;

  /** Weight of one response in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.04;

  private static final int MAX_REMEMBERED_ANSWERS = 8_192;

  private static final class Averages {
    private double warmNanos;
    private double coldNanos;
  }

  private record RouteOfService(String service, String route) {}

  private final Map<String, Averages> averagesByService = new HashMap<>();
  private final Map<RouteOfService, Averages> averagesByRoute = new HashMap<>();

  /**
   * Times of the last responses, by hash of object and server; the least recently used are dropped.
   */
  private final Map<Long, Long> lastAnswerNanos =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_REMEMBERED_ANSWERS;
        }
      };

  /** Returns whether this instance got a response for the object from the server recently. */
  boolean isKnownWarm(long objectHash, ServerState server, long nowNanos) {
    Long answeredNanos = lastAnswerNanos.get(server.rendezvousScore(objectHash));
    return answeredNanos != null && nowNanos - answeredNanos < WARM_NANOS;
  }

  /**
   * Records a response and the time from sending the request to it; call only if the request did
   * not have to queue.
   */
  void onServed(PlacementQuery query, ServerState server, long responseTimeNanos, long nowNanos) {
    boolean warm = isKnownWarm(query.objectHash(), server, nowNanos);
    record(
        averagesByService.computeIfAbsent(query.service(), name -> new Averages()),
        warm,
        responseTimeNanos);
    record(
        averagesByRoute.computeIfAbsent(routeOf(query), route -> new Averages()),
        warm,
        responseTimeNanos);
    onServedUntimed(query.objectHash(), server, nowNanos);
  }

  private static RouteOfService routeOf(PlacementQuery query) {
    return new RouteOfService(query.service(), query.route());
  }

  private static void record(Averages averages, boolean warm, long responseTimeNanos) {
    if (warm) {
      averages.warmNanos = average(averages.warmNanos, responseTimeNanos);
    } else {
      averages.coldNanos = average(averages.coldNanos, responseTimeNanos);
    }
  }

  /**
   * Records a response without its time, which is not comparable because the request may have had
   * to queue or went to another region.
   */
  void onServedUntimed(long objectHash, ServerState server, long nowNanos) {
    lastAnswerNanos.put(server.rendezvousScore(objectHash), nowNanos);
  }

  private static double average(double old, double sample) {
    return old == 0 ? sample : old + SAMPLE_WEIGHT * (sample - old);
  }

  /** Returns the average time that a warm server needs for a request, in nanoseconds. */
  double warmNanos(String service) {
    return warmNanosOf(averagesByService.get(service));
  }

  /** Returns the average time that a warm server needs for a request of the query's route. */
  double warmNanos(PlacementQuery query) {
    return warmNanosOf(averagesOf(query));
  }

  /**
   * Returns the average time that a server needs for a request for an object for which it is not
   * warm, in nanoseconds; at least the time of a warm server.
   */
  double coldNanos(String service) {
    return coldNanosOf(averagesByService.get(service));
  }

  /**
   * Returns the average time that a server which is not warm for the object needs for a request of
   * the query's route, in nanoseconds; at least the time of a warm server.
   */
  double coldNanos(PlacementQuery query) {
    return coldNanosOf(averagesOf(query));
  }

  private Averages averagesOf(PlacementQuery query) {
    Averages ofRoute = averagesByRoute.get(routeOf(query));
    return ofRoute == null ? averagesByService.get(query.service()) : ofRoute;
  }

  private static double warmNanosOf(Averages averages) {
    if (averages == null) {
      return DEFAULT_WARM_NANOS;
    }
    if (averages.warmNanos > 0) {
      return averages.warmNanos;
    }
    return Math.min(DEFAULT_WARM_NANOS, averages.coldNanos);
  }

  private static double coldNanosOf(Averages averages) {
    double cold =
        averages == null || averages.coldNanos == 0 ? DEFAULT_COLD_NANOS : averages.coldNanos;
    return Math.max(cold, warmNanosOf(averages));
  }
}
