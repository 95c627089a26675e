package org.bambooarch.store;

/**
 * A row of the table service.
 *
 * <p>The component names are the field names of its JSON form.
 *
 * @param table name of the table
 * @param key key, unique in the table
 * @param version version assigned by the table service, higher after each write of the row
 * @param value stored text, usually JSON
 */
public record Row(String table, String key, long version, String value) {}
