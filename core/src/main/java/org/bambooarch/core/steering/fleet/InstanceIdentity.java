package org.bambooarch.core.steering.fleet;

/**
 * The identity of one run of an instance, with its location and addresses.
 *
 * @param name unique name of the instance
 * @param incarnation number of the run, higher for each later run of the same instance
 * @param region region where it runs
 * @param dataCentre data centre where it runs
 * @param callersAddress IP address and port for callers
 * @param peersAddress IP address and port for other instances
 */
public record InstanceIdentity(
    String name,
    long incarnation,
    String region,
    String dataCentre,
    String callersAddress,
    String peersAddress) {}
