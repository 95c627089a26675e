package org.bambooarch.core.steering.place;

import java.util.Set;
import org.bambooarch.core.steering.config.HomeRegions;

/**
 * A request for which a server is to be chosen.
 *
 * @param service service that must run it
 * @param route name of the request's route; the requests of a route take similar processing times
 * @param objectHash hash of the object that the request concerns; a random number if there is none
 * @param priority priority under load; 0 is the highest
 * @param targetLatencyNanos remaining time within which a response has its full value for the
 *     caller, in nanoseconds
 * @param remainingNanos time until the request's deadline, in nanoseconds
 * @param homeRegions the only regions that may run it
 * @param excludedServers names of the servers that must not get it, since they were tried before
 */
public record PlacementQuery(
    String service,
    String route,
    long objectHash,
    int priority,
    long targetLatencyNanos,
    long remainingNanos,
    HomeRegions homeRegions,
    Set<String> excludedServers) {}
