package org.bambooarch.core.inventory;

/**
 * A target server, which runs one service.
 *
 * @param name unique name, such as {@code catalogue-kochi-a-1}
 * @param service name of the service that the server runs
 * @param dataCentre name of the data centre that the server is in
 * @param host IP address
 * @param port TCP port
 * @param slots number of requests that the server runs at the same time
 * @param connectionLimit number of connections that all instances together may keep open to the
 *     server
 */
public record Server(
    String name,
    String service,
    String dataCentre,
    String host,
    int port,
    int slots,
    int connectionLimit) {}
