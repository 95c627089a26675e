package org.bambooarch.peer;

/**
 * Where another instance listens for its peers.
 *
 * @param instance unique name of the instance
 * @param host IP number
 * @param port TCP port
 */
public record PeerAddress(String instance, String host, int port) {}
