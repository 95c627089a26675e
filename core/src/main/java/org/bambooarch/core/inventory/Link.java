package org.bambooarch.core.inventory;

/**
 * One direction of the link between two regions.
 *
 * @param fromRegion name of the region that sends
 * @param toRegion name of the region that receives
 * @param capBytesPerSecond bytes per second that all instances together may send in this direction
 * @param delayMicros one-way delay in microseconds
 */
public record Link(String fromRegion, String toRegion, long capBytesPerSecond, long delayMicros) {}
