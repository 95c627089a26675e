package org.bambooarch.core.config;

/**
 * A key that operators issued to a customer.
 *
 * @param digest SHA-256 of the key in lower-case hexadecimal; the key itself is never stored
 * @param customer name of the customer that the key belongs to
 * @param withdrawn whether the key was withdrawn; a withdrawn key never becomes valid again
 */
public record IssuedKey(String digest, String customer, boolean withdrawn) {}
