package org.bambooarch.core.block;

/**
 * A block of client addresses and the place that is nearest to those clients.
 *
 * @param block block of client addresses
 * @param place name of the place
 */
public record PlacedBlock(AddressBlock block, String place) {}
