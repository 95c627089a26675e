package org.bambooarch.core.inventory;

/**
 * One direction of the link between two regions.
 *
 * @param fromRegion name of the sending region
 * @param toRegion name of the receiving region
 * @param capBytesPerSecond bytes per second that may cross in this direction
 * @param delayMicros one-way delay in microseconds
 */
public record Link(String fromRegion, String toRegion, long capBytesPerSecond, long delayMicros) {}
