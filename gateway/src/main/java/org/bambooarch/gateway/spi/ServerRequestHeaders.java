package org.bambooarch.gateway.spi;

import java.util.Optional;

/**
 * What the system tells a server with a request.
 *
 * @param timeoutMillis how long the server may work on it, in milliseconds
 * @param serverId the only server that may run it
 * @param customer name of the customer whose key came with it
 */
public record ServerRequestHeaders(
    long timeoutMillis, String serverId, Optional<String> customer) {}
