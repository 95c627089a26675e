package org.bambooarch.core.steering.config;

/**
 * One of the services among which a route's requests are distributed.
 *
 * @param service name of the service
 * @param weight the service's share of the route's requests, relative to the other weights; a
 *     service of weight zero gets none
 */
public record WeightedService(String service, double weight) {}
