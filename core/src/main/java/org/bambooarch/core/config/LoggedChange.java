package org.bambooarch.core.config;

/**
 * A committed change as it is stored in the table.
 *
 * <p>Instances pass the text on unchanged, so that all of them apply the same text for a version.
 *
 * @param version version of the configuration after the change; the first change gives version 1
 * @param text the change as JSON, the value of its row in the table
 */
public record LoggedChange(long version, String text) {}
