package org.bambooarch.core.inventory;

/**
 * A block of client addresses and the data centre nearest to it.
 *
 * @param cidr address block in CIDR notation, such as {@code 10.1.0.0/16} or {@code 2001:db8::/32}
 * @param dataCentre name of the nearest data centre
 */
public record ClientBlock(String cidr, String dataCentre) {}
