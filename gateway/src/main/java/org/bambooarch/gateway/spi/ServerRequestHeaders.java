package org.bambooarch.gateway.spi;

import java.util.Optional;

/**
 * What the system tells a server with a request.
 *
 * @param waitMillis how long the server may work on it, in milliseconds
 * @param serverId the only server that may run it
 * @param customer name of the customer whose key came with it
 */
public record ServerRequestHeaders(long waitMillis, String serverId, Optional<String> customer) {}
