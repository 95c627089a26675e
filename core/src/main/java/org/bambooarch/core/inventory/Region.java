package org.bambooarch.core.inventory;

/**
 * A region: a group of data centres joined to other regions by links with caps.
 *
 * @param name unique name, such as {@code kochi}
 */
public record Region(String name) {}
