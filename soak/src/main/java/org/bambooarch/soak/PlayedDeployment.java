package org.bambooarch.soak;

import java.util.ArrayList;
import java.util.List;

/** Host, routes, services and tenant of the deployment, as the operator writes them. */
final class PlayedDeployment {

  static final String HOST = "shop.example";
  static final String API_KEY = "soak-key";
  static final String SAFE_PREFIX = "read-";
  static final String UNSAFE_PREFIX = "order-";

  /** Route that configurations move from one service to another. */
  static final String MOVED_ROUTE = "moved";

  static final List<String> SERVICES = List.of("catalogue", "search", "desk");
  static final List<String> ZONES = List.of("north-a", "north-b", "south-a");

  /** Share of the servers that the first service has, and the first two together. */
  private static final double[] SHARES = {0.5, 0.8};

  private PlayedDeployment() {}

  /** Returns the service of server {@code index} of {@code servers}. */
  static String serviceOf(int index, int servers) {
    double position = (double) index / servers;
    if (position < SHARES[0]) {
      return SERVICES.get(0);
    }
    return SERVICES.get(position < SHARES[1] ? 1 : 2);
  }

  /**
   * Returns a configuration.
   *
   * @param timeoutMillis timeout of all routes
   * @param withExtraRoute whether it has a route that others do not have
   * @param movedTo service of the route that configurations move
   */
  static String config(int version, long timeoutMillis, boolean withExtraRoute, String movedTo) {
    List<String> routes = new ArrayList<>();
    List<String> services = new ArrayList<>();
    for (String service : SERVICES) {
      routes.add(route(SAFE_PREFIX + service, "safe", timeoutMillis, service));
      routes.add(route(UNSAFE_PREFIX + service, "unsafe", timeoutMillis, service));
      services.add(Templates.fill("service.json", service));
    }
    routes.add(route(MOVED_ROUTE, "safe", timeoutMillis, movedTo));
    if (withExtraRoute) {
      routes.add(route("extra", "safe", timeoutMillis, SERVICES.getFirst()));
    }
    return Templates.fill(
        "config.json", version, String.join(",", routes), String.join(",", services), API_KEY);
  }

  private static String route(String name, String kind, long timeoutMillis, String service) {
    return Templates.fill("route.json", name, HOST, kind, timeoutMillis, service);
  }
}
