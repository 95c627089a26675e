package org.bambooarch.core.steering.config;

/**
 * Settings that apply to each server of a service.
 *
 * @param name unique name
 * @param healthPath URL path of the health check
 * @param connectionLimit number of connections that a server accepts from all instances together
 * @param coldStartMillis time for which a server is cold after its start, in milliseconds
 * @param coldRequestsPerSecond requests per second from all instances together that a server can
 *     handle while it is cold
 */
public record ServicePolicy(
    String name,
    String healthPath,
    int connectionLimit,
    long coldStartMillis,
    double coldRequestsPerSecond) {}
