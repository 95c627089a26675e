package org.bambooarch.core.config;

/**
 * One accepted change as the table holds it.
 *
 * <p>The text travels unchanged from the table to every instance, so that all instances apply the
 * same bytes for one version.
 *
 * @param version version of the configuration after the change; the first change has version 1
 * @param text the change as JSON, the value of its row in the table
 */
public record LoggedChange(long version, String text) {}
