package org.bambooarch.core.steering.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration, immutable and indexed for look-ups by host, path and key.
 *
 * <pre>{@code
 * Optional<ServiceRoute> route = config.routeOf("shop.example", "/books/17");
 * }</pre>
 */
public final class SteeringConfig {

  private final long version;
  private final CallerLimits callerLimits;
  private final Map<String, List<ServiceRoute>> routesByHost = new HashMap<>();
  private final Map<String, ServiceRoute> routesByName = new HashMap<>();
  private final Map<String, HomeRegions> homeRegionsByHost = new HashMap<>();
  private final Map<String, ServicePolicy> services = new HashMap<>();
  private final Map<String, CustomerPolicy> customersByName = new HashMap<>();
  private final Map<String, CustomerPolicy> customersByKeyDigest = new HashMap<>();
  private final List<CustomerPolicy> customers;

  /**
   * Creates a configuration.
   *
   * @param version version number, higher for each later configuration
   * @param routes all routes
   * @param services all services
   * @param customers all customers; empty if requests carry no keys
   * @param callerLimits limits on what callers may send
   */
  public SteeringConfig(
      long version,
      List<ServiceRoute> routes,
      List<ServicePolicy> services,
      List<CustomerPolicy> customers,
      CallerLimits callerLimits) {
    this.version = version;
    this.callerLimits = callerLimits;
    this.customers = List.copyOf(customers);
    for (ServiceRoute route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
      routesByName.put(route.name(), route);
      homeRegionsByHost.merge(route.host(), route.homeRegions(), HomeRegions::and);
    }
    Comparator<ServiceRoute> longestFirst =
        Comparator.comparingInt((ServiceRoute route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(ofHost -> ofHost.sort(longestFirst));
    services.forEach(service -> this.services.put(service.name(), service));
    for (CustomerPolicy customer : customers) {
      customersByName.put(customer.name(), customer);
      customer.keyDigests().forEach(digest -> customersByKeyDigest.put(digest, customer));
    }
  }

  /** Returns the version number, which is higher for each later configuration. */
  public long version() {
    return version;
  }

  /** Returns the limits on what callers may send. */
  public CallerLimits callerLimits() {
    return callerLimits;
  }

  /** Returns all customers; empty if requests carry no keys. */
  public List<CustomerPolicy> customers() {
    return customers;
  }

  /** Returns whether requests must carry keys, except on routes that are open to all callers. */
  public boolean requiresKeys() {
    return !customers.isEmpty();
  }

  /** Returns the policy of a service, or empty if the service is not configured. */
  public Optional<ServicePolicy> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the customer that has a key with this digest, or empty if no customer has. */
  public Optional<CustomerPolicy> customerOfKey(String keyDigest) {
    return Optional.ofNullable(customersByKeyDigest.get(keyDigest));
  }

  /**
   * Returns the route of the host whose path prefix is the longest one that the path starts with,
   * or empty if no route matches.
   *
   * @param authority host that the request asks for, in upper or lower case, with or without a port
   * @param path path without the query
   */
  public Optional<ServiceRoute> routeOf(String authority, String path) {
    for (ServiceRoute route : routesByHost.getOrDefault(hostOf(authority), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the regions that this version permits for a request that it or an earlier version
   * admitted. A route or customer that this version lacks counts as it was then.
   *
   * @param route route of the request, as of its admission
   * @param customer customer that has the request's key, as of its admission
   */
  public HomeRegions homeRegionsOf(ServiceRoute route, Optional<CustomerPolicy> customer) {
    HomeRegions ofRoute = routesByName.getOrDefault(route.name(), route).homeRegions();
    return customer
        .map(admitted -> customersByName.getOrDefault(admitted.name(), admitted))
        .map(current -> ofRoute.and(current.homeRegions()))
        .orElse(ofRoute);
  }

  /**
   * Returns the regions that this version permits for a request that another instance admitted. A
   * route or customer that this version lacks permits all.
   *
   * @param authority host that the request asks for, as in {@link #routeOf}
   * @param path path without the query
   * @param customer name of the request's customer, if it has one
   */
  public HomeRegions homeRegionsOf(String authority, String path, Optional<String> customer) {
    HomeRegions ofRoute =
        routeOf(authority, path).map(ServiceRoute::homeRegions).orElse(HomeRegions.ALL);
    return customer
        .flatMap(name -> Optional.ofNullable(customersByName.get(name)))
        .map(known -> ofRoute.and(known.homeRegions()))
        .orElse(ofRoute);
  }

  /**
   * Returns the regions that all routes of the host with home regions have in common; all regions
   * if it has no such route or is not configured. Customers' home regions are not included.
   *
   * @param authority host, in upper or lower case, with or without a port
   */
  public HomeRegions homeRegionsOfHost(String authority) {
    return homeRegionsByHost.getOrDefault(hostOf(authority), HomeRegions.ALL);
  }

  private static String hostOf(String authority) {
    int colon = authority.lastIndexOf(':');
    boolean hasPort = colon > authority.lastIndexOf(']');
    return (hasPort ? authority.substring(0, colon) : authority).toLowerCase(Locale.ROOT);
  }
}
