package org.bambooarch.core.inventory;

/**
 * A target server that runs one service.
 *
 * @param name unique name, such as {@code catalogue-kochi-a-1}
 * @param service name of the service that it runs
 * @param dataCentre name of the data centre that holds it
 * @param host IP number
 * @param port TCP port
 * @param slots requests that it runs at the same time
 * @param connectionLimit connections that all instances together may hold open to it
 */
public record Server(
    String name,
    String service,
    String dataCentre,
    String host,
    int port,
    int slots,
    int connectionLimit) {}
