package org.bambooarch.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Hosts, routes, services and customers of the deployment, as the operator writes them. */
final class PlayedDeployment {

  static final String HOST = "shop.example";
  static final String SAFE_PREFIX = "read-";
  static final String UNSAFE_PREFIX = "order-";

  /** Route that configurations move from one service to another. */
  static final String MOVED_ROUTE = "moved";

  static final List<String> SERVICES = List.of("catalogue", "search", "desk");

  /** Data centres, two in each region; neighbours in the list are of different regions. */
  static final List<String> ZONES = List.of("north-a", "south-a", "north-b", "south-b");

  /**
   * A route that has homes.
   *
   * @param region the home that it has until a configuration moves it
   */
  record HomedRoute(String name, String host, boolean safe, String region) {}

  /** Route with a home on the host whose other routes have none. */
  static final HomedRoute LOCAL_ROUTE = new HomedRoute("read-local", HOST, true, "north");

  /** A customer; its key is its only one. */
  record Customer(String name, String apiKey) {}

  static final Customer CUSTOMER = new Customer("plain", "soak-key");

  /** Customer that has homes. */
  static final Customer HOMED_CUSTOMER = new Customer("northern", "soak-key-northern");

  private static final String HOMED_CUSTOMER_REGION = "north";

  static final List<HomedRoute> HOMED_ROUTES =
      List.of(
          LOCAL_ROUTE,
          new HomedRoute("read-north", "north.example", true, "north"),
          new HomedRoute("order-north", "north.example", false, "north"),
          new HomedRoute("read-south", "south.example", true, "south"),
          new HomedRoute("order-south", "south.example", false, "south"));

  /** Share of the servers that the first service has, and the first two together. */
  private static final double[] SHARES = {0.5, 0.8};

  private PlayedDeployment() {}

  static String regionOf(String zone) {
    return zone.substring(0, zone.indexOf('-'));
  }

  static List<String> regions() {
    return ZONES.stream().map(PlayedDeployment::regionOf).distinct().toList();
  }

  /** Returns the homes that routes and customers have at first, by their name. */
  static Map<String, Set<String>> firstHomes() {
    Map<String, Set<String>> homes = new TreeMap<>();
    HOMED_ROUTES.forEach(route -> homes.put(route.name(), Set.of(route.region())));
    homes.put(HOMED_CUSTOMER.name(), Set.of(HOMED_CUSTOMER_REGION));
    return homes;
  }

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
   * @param homes regions of each route and customer that has homes, by its name
   */
  static String config(
      int version,
      long timeoutMillis,
      boolean withExtraRoute,
      String movedTo,
      Map<String, Set<String>> homes) {
    List<String> routes = new ArrayList<>();
    List<String> services = new ArrayList<>();
    for (String service : SERVICES) {
      routes.add(route(SAFE_PREFIX + service, "safe", timeoutMillis, service));
      routes.add(route(UNSAFE_PREFIX + service, "unsafe", timeoutMillis, service));
      services.add(Templates.fill("service.json", service));
    }
    for (HomedRoute route : HOMED_ROUTES) {
      routes.add(homedRoute(route, timeoutMillis, homes.get(route.name())));
    }
    routes.add(route(MOVED_ROUTE, "safe", timeoutMillis, movedTo));
    if (withExtraRoute) {
      routes.add(route("extra", "safe", timeoutMillis, SERVICES.getFirst()));
    }
    List<String> customers = new ArrayList<>();
    for (Customer customer : List.of(CUSTOMER, HOMED_CUSTOMER)) {
      String regions = listed(homes.getOrDefault(customer.name(), Set.of()));
      customers.add(Templates.fill("customer.json", customer.name(), customer.apiKey(), regions));
    }
    return Templates.fill(
        "config.json",
        version,
        String.join(",", routes),
        String.join(",", services),
        String.join(",", customers));
  }

  private static String route(String name, String kind, long timeoutMillis, String service) {
    return Templates.fill("route.json", name, HOST, kind, timeoutMillis, service, "");
  }

  private static String homedRoute(HomedRoute route, long timeoutMillis, Set<String> homes) {
    return Templates.fill(
        "route.json",
        route.name(),
        route.host(),
        route.safe() ? "safe" : "unsafe",
        timeoutMillis,
        SERVICES.getFirst(),
        listed(homes));
  }

  private static String listed(Set<String> regions) {
    return regions.stream()
        .sorted()
        .map(region -> '"' + region + '"')
        .collect(Collectors.joining(","));
  }
}
