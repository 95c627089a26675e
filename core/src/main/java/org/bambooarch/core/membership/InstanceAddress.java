package org.bambooarch.core.membership;

/**
 * Where an instance runs.
 *
 * @param name unique name of the instance
 * @param dataCentre name of its data centre
 * @param host IP number
 * @param callersPort port for callers
 * @param peersPort port for other instances
 */
public record InstanceAddress(
    String name, String dataCentre, String host, int callersPort, int peersPort) {}
