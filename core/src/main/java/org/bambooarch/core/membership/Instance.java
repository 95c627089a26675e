package org.bambooarch.core.membership;

/**
 * Another instance, as this instance sees it.
 *
 * @param address its network address
 * @param incarnation number of its run, higher for each later run; zero while it is known only from
 *     the platform's list
 * @param status its liveness
 */
public record Instance(InstanceAddress address, long incarnation, InstanceStatus status) {}
