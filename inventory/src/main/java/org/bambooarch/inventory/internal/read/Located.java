package org.bambooarch.inventory.internal.read;

import org.bambooarch.inventory.Location;

/**
 * A row of the inventory and the place that it was read from.
 *
 * @param value the row; fields that could not be read are empty texts or their least value
 * @param location place of the row
 * @param <T> type of the row
 */
public record Located<T>(T value, Location location) {}
