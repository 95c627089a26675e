package org.bambooarch.soak;

import java.util.ArrayList;
import java.util.List;

/** Host, routes, services and tenant of the deployment, as the operator writes them. */
final class Deployment {

  static final String HOST = "shop.example";
  static final String API_KEY = "9anu6wsjnbanfqasnmgk";
  static final String SAFE_PREFIX = "read-";
  static final String UNSAFE_PREFIX = "order-";
  static final List<String> SERVICES = List.of("catalogue", "search", "desk");
  static final List<String> ZONES = List.of("kochi-a", "kochi-b", "tvm-a");

  /** Servers of each service in a deployment of the full size. */
  private static final int[] SERVICE_SIZES = {132, 60, 41};

  private static final int FULL_SIZE = 233;

  private Deployment() {}

  /** Returns the service of server {@code index} of {@code servers}, in the sizes' proportion. */
  static String serviceOf(int index, int servers) {
    int scaled = index * FULL_SIZE / servers;
    if (scaled < SERVICE_SIZES[0]) {
      return SERVICES.get(0);
    }
    return SERVICES.get(scaled < SERVICE_SIZES[0] + SERVICE_SIZES[1] ? 1 : 2);
  }

  /**
   * Returns a configuration.
   *
   * @param timeoutMillis timeout of all routes
   * @param withExtraRoute whether it has a route that others do not have
   */
  static String config(int version, long timeoutMillis, boolean withExtraRoute) {
    List<String> routes = new ArrayList<>();
    List<String> services = new ArrayList<>();
    for (String service : SERVICES) {
      routes.add(route(SAFE_PREFIX + service, "safe", timeoutMillis, service));
      routes.add(route(UNSAFE_PREFIX + service, "unsafe", timeoutMillis, service));
      services.add(Templates.fill("service.json", service));
    }
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
