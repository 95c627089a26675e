package org.bambooarch.store;

import java.util.List;

/** The result of a transaction in the table service. */
public sealed interface CommitResult {

  /**
   * All writes took effect.
   *
   * @param rows the rows as written, in the order of the writes; deletes have no row
   */
  record Committed(List<Row> rows) implements CommitResult {}

  /**
   * No write took effect, because the precondition of at least one did not hold.
   *
   * @param current the present content of the rows whose precondition failed, without those that do
   *     not exist
   */
  record Conflict(List<Row> current) implements CommitResult {}
}
