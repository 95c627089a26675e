package org.bambooarch.store;

/**
 * One conditional write inside a transaction.
 *
 * <pre>{@code
 * Write insert = Write.insert("orders", "kerala/o-17", json);
 * Write update = Write.replace(row, newJson);
 * }</pre>
 */
public sealed interface Write {

  /** Returns the name of the table that is written. */
  String table();

  /** Returns the key of the row that is written. */
  String key();

  /** Creates a row; its precondition is that the row does not exist. */
  record Insert(String table, String key, String value) implements Write {}

  /** Replaces the value of a row; its precondition is that the row has the expected version. */
  record Replace(String table, String key, long expectedVersion, String value) implements Write {}

  /** Deletes a row; its precondition is that the row has the expected version. */
  record Delete(String table, String key, long expectedVersion) implements Write {}

  /** Returns a write that creates a row that must not exist. */
  static Write insert(String table, String key, String value) {
    return new Insert(table, key, value);
  }

  /** Returns a write that replaces the value of a row if it was not changed since it was read. */
  static Write replace(Row row, String value) {
    return new Replace(row.table(), row.key(), row.version(), value);
  }

  /** Returns a write that deletes a row if it was not changed since it was read. */
  static Write delete(Row row) {
    return new Delete(row.table(), row.key(), row.version());
  }
}
