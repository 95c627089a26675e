package org.bambooarch.core.routing;

/**
 * What a server says about itself; it may lag or be wrong, so it may only lower trust.
 *
 * @param server name of the server
 * @param healthy whether the server calls itself healthy
 * @param draining whether the server asks for no new work
 * @param slotsInUse requests that it says it is running
 */
public record TargetReport(String server, boolean healthy, boolean draining, int slotsInUse) {}
