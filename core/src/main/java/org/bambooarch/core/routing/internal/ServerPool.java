package org.bambooarch.core.routing.internal;

/**
 * The servers of one service in one region, as seen from this instance.
 *
 * @param region name of the region
 * @param remote whether the region is another one than this instance's
 * @param servers rows of the servers
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServerPool(String region, boolean remote, int[] servers) {}
