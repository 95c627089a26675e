package org.bambooarch.core.routing.internal;

/**
 * The servers of one service in one region, as seen from this instance.
 *
 * @param region name of the region
 * @param remote whether the region is not this instance's own
 * @param servers indexes of the servers in the target table; not written after construction
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServerPool(String region, boolean remote, int[] servers) {}
