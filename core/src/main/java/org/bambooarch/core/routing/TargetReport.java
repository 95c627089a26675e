package org.bambooarch.core.routing;

/**
 * What a server reports about itself. A report may be late or wrong, so it can only lower the
 * server's limit, never raise it.
 *
 * @param server name of the server
 * @param healthy whether the server reports that it is healthy
 * @param draining whether the server asks for no new requests
 * @param slotsInUse number of requests that the server reports to be running
 */
public record TargetReport(String server, boolean healthy, boolean draining, int slotsInUse) {}
