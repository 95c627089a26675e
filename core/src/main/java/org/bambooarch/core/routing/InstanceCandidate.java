package org.bambooarch.core.routing;

/**
 * An entry instance that a look-up may name to a caller.
 *
 * @param name unique name of the instance
 * @param dataCentre name of the data centre that the instance runs in
 * @param host IP address that callers connect to
 * @param port TCP port that callers connect to
 * @param available whether the instance is alive, is not leaving and is not drained
 * @param load fraction of the instance's capacity in use, from 0 to 1
 */
public record InstanceCandidate(
    String name, String dataCentre, String host, int port, boolean available, double load) {}
