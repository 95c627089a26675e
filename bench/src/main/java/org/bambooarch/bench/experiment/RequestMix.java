package org.bambooarch.bench.experiment;

import java.util.List;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.inventory.Route;

/** The routes of each simulated service, their shares of the requests and their service times. */
final class RequestMix {

  static final int ORDER = 0;
  static final int BROWSE = 1;
  static final int BULK = 2;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long TIMEOUT_MILLIS = 3_000;
  private static final long BULK_TIMEOUT_MILLIS = 30_000;
  private static final double[] SHARES = {0.30, 0.65, 0.05};
  private static final double[] SERVICE_MILLIS = {20, 30, 200};
  private static final List<Route> ROUTES =
      List.of(
          new Route(
              "order",
              "POST",
              "/order",
              false,
              PriorityClass.COUNTER,
              2_000,
              TIMEOUT_MILLIS,
              false),
          new Route(
              "browse",
              "GET",
              "/browse",
              true,
              PriorityClass.BROWSE,
              20_000,
              TIMEOUT_MILLIS,
              false),
          new Route(
              "bulk",
              "GET",
              "/bulk",
              true,
              PriorityClass.BULK,
              200_000,
              BULK_TIMEOUT_MILLIS,
              false));

  private RequestMix() {}

  static List<Route> routes() {
    return ROUTES;
  }

  /**
   * Returns the mean service time of a request of the ordinary mix at a warm server, in seconds.
   */
  static double meanServiceSeconds() {
    double millis = 0;
    for (int route = 0; route < SHARES.length; route++) {
      millis += SHARES[route] * SERVICE_MILLIS[route];
    }
    return millis / MILLIS_PER_SECOND;
  }

  /** Returns the fraction of the requests of the ordinary mix that use a route. */
  static double share(int route) {
    return SHARES[route];
  }

  /** Returns the mean service time of a route at a warm server, in nanoseconds. */
  static double serviceNanos(int route) {
    return SERVICE_MILLIS[route] * NANOS_PER_MILLI;
  }
}
