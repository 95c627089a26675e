package org.bambooarch.core.steering.place;

/**
 * What a server says of itself.
 *
 * @param id unique name of this run of the server
 * @param service name of the service that it runs
 * @param host IP number
 * @param port TCP port
 * @param dataCentre data centre that holds it
 * @param slots requests that it runs at the same time
 * @param draining whether it is about to leave and takes nothing new
 * @param coldLeftMillis how much longer it is slow after its start
 * @param startWallMillis wall time of its start, by its own clock
 */
public record ServerEntry(
    String id,
    String service,
    String host,
    int port,
    String dataCentre,
    int slots,
    boolean draining,
    long coldLeftMillis,
    long startWallMillis) {}
