package org.bambooarch.core.membership;

/**
 * One line of the platform's list.
 *
 * @param address where the instance runs
 * @param leaving whether the platform has it as leaving
 */
public record ListedInstance(InstanceAddress address, boolean leaving) {}
