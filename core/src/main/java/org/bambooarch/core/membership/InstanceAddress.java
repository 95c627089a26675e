package org.bambooarch.core.membership;

/**
 * Network address of an entry instance.
 *
 * @param name unique name of the instance
 * @param dataCentre name of its data centre
 * @param host IP address as text
 * @param callersPort port that serves callers
 * @param peersPort port for connections from other instances
 */
public record InstanceAddress(
    String name, String dataCentre, String host, int callersPort, int peersPort) {}
