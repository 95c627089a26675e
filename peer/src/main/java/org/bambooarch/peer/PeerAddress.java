package org.bambooarch.peer;

/**
 * The address at which another instance listens for connections of its peers.
 *
 * @param instance unique name of the instance; a connection is used only if the instance proves
 *     this name
 * @param host IP address in text form
 * @param port TCP port
 */
public record PeerAddress(String instance, String host, int port) {}
