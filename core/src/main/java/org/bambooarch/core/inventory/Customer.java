package org.bambooarch.core.inventory;

/**
 * A customer and its fleet-wide limits.
 *
 * @param name unique name; targets see this name and never the key
 * @param requestsPerSecond sustained rate over all instances together
 * @param burstRequests requests that may be admitted at once over all instances together
 */
public record Customer(String name, double requestsPerSecond, long burstRequests) {}
