package org.bambooarch.core.inventory;

/**
 * A group of data centres that is connected to other regions by links with limited bandwidth.
 *
 * @param name unique name, such as {@code kochi}
 */
public record Region(String name) {}
