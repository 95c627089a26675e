package org.bambooarch.core.inventory;

/**
 * A data centre inside a region.
 *
 * @param name unique name, such as {@code kochi-a}
 * @param region name of the region that the data centre belongs to
 */
public record DataCentre(String name, String region) {}
