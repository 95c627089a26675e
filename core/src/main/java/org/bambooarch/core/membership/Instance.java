package org.bambooarch.core.membership;

/**
 * One instance as this one sees it.
 *
 * @param address where it runs
 * @param incarnation number of its run, higher for each later run; zero while never heard of
 * @param status what is known of it
 */
public record Instance(InstanceAddress address, long incarnation, InstanceStatus status) {}
