package org.bambooarch.core.steering.config;

import java.util.List;

/**
 * A route: the requests that match it, the services that they go to and how they are handled.
 *
 * @param name unique name
 * @param host host name that matching requests ask for, in lower case
 * @param pathPrefix prefix of the paths of matching requests; begins and ends with a slash
 * @param idempotent whether a request may safely run more than once
 * @param timeoutMillis longest time that a caller waits for a response, in milliseconds
 * @param targetLatencyMillis latency goal: a response within this time, in milliseconds, has its
 *     full value for the caller
 * @param maxServers largest number of servers on which one request may run; servers that rejected
 *     it without running it do not count
 * @param priority priority under load; 0 is the highest
 * @param openToAll whether requests need no key
 * @param sticky whether servers respond faster for objects that they handled recently, so that the
 *     requests for an object should go to the same servers
 * @param homeRegions the only regions that may serve the route's requests
 * @param services services among which the requests are split, with their weights; at least one
 */
public record ServiceRoute(
    String name,
    String host,
    String pathPrefix,
    boolean idempotent,
    long timeoutMillis,
    long targetLatencyMillis,
    int maxServers,
    int priority,
    boolean openToAll,
    boolean sticky,
    HomeRegions homeRegions,
    List<WeightedService> services) {

  /** Makes an unmodifiable copy of the list. */
  public ServiceRoute {
    services = List.copyOf(services);
  }
}
