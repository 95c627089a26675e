package org.bambooarch.core.inventory;

/**
 * A customer and its rate limit, which holds for all instances together.
 *
 * @param name unique name; targets get this name and never the customer's key
 * @param requestsPerSecond sustained request rate over all instances together
 * @param burstRequests number of requests that may be admitted at once over all instances together
 */
public record Customer(String name, double requestsPerSecond, long burstRequests) {}
