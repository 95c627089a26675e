package org.bambooarch.gateway.spi;

import java.util.Optional;

/**
 * Control information that the gateway adds to a request for a server.
 *
 * @param timeoutMillis how long the server may work on the request, in milliseconds
 * @param serverId id of the only server that may run the request; any other one must reject it
 * @param customer name of the customer whose API key came with the request, if any
 */
public record ServerRequestHeaders(
    long timeoutMillis, String serverId, Optional<String> customer) {}
