package org.bambooarch.core.routing;

/**
 * An entry instance that callers may be sent to.
 *
 * @param name unique name
 * @param dataCentre name of its data centre
 * @param host IP number that callers use
 * @param port TCP port that callers use
 * @param available whether it is alive, not leaving and not drained
 * @param load part of its room in use, from 0 to 1
 */
public record InstanceCandidate(
    String name, String dataCentre, String host, int port, boolean available, double load) {}
