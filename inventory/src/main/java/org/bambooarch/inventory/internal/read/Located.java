package org.bambooarch.inventory.internal.read;

import org.bambooarch.inventory.Location;

/**
 * An entry of the inventory with the location that it was read from.
 *
 * @param value the entry; a field that could not be read has the substitute that {@link
 *     FieldReader} describes
 * @param location location of the entry
 * @param <T> type of the entry
 */
public record Located<T>(T value, Location location) {}
