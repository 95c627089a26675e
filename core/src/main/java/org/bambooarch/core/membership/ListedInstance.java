package org.bambooarch.core.membership;

/**
 * One entry of the platform's list of instances.
 *
 * @param address network address of the instance
 * @param leaving whether the platform lists the instance as leaving
 */
public record ListedInstance(InstanceAddress address, boolean leaving) {}
