package org.bambooarch.core.config;

/**
 * An API key that operators issued to a customer.
 *
 * @param digest SHA-256 of the key in lower-case hexadecimal; the key itself is never stored
 * @param customer name of the customer whose requests carry the key
 * @param withdrawn whether the key was withdrawn; a withdrawn key never becomes valid again
 */
public record IssuedKey(String digest, String customer, boolean withdrawn) {}
