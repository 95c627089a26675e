package org.bambooarch.core.steering.place;

/**
 * What a server reports of itself when it registers with the platform.
 *
 * @param id unique name of the server; a server that was started again may keep it
 * @param service name of the service that it runs
 * @param host IP address
 * @param port TCP port
 * @param dataCentre name of the data centre where it runs
 * @param slots number of requests that it runs at the same time
 * @param draining whether it is about to stop and takes no new requests
 * @param coldLeftMillis remaining time for which it is slow after its start, in milliseconds
 * @param startWallMillis time of its start by its own wall clock, in milliseconds since the epoch
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
