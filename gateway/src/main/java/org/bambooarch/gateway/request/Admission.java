package org.bambooarch.gateway.request;

import java.util.Optional;
import org.bambooarch.core.steering.config.CustomerPolicy;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.SteeringConfig;

/**
 * What a request was admitted by.
 *
 * @param config the configuration that was in force
 * @param route route of the request
 * @param customer the customer that is charged and whose name and priority count; empty on a route
 *     that is open to all callers
 * @param keyHolder the customer that has the request's key, on any route; its home regions bind the
 *     request
 */
record Admission(
    SteeringConfig config,
    ServiceRoute route,
    Optional<CustomerPolicy> customer,
    Optional<CustomerPolicy> keyHolder) {}
