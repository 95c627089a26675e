package org.bambooarch.core.block;

/**
 * A block of client addresses and the place nearest to it.
 *
 * @param block the addresses
 * @param place name of the place
 */
public record PlacedBlock(AddressBlock block, String place) {}
