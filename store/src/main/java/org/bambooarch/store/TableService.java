package org.bambooarch.store;

import java.util.List;
import java.util.Optional;

/**
 * The platform's transactional table service.
 *
 * <p>Calls block; run them on a virtual thread and never on an event loop.
 */
public interface TableService {

  /** Reads one row; empty if it does not exist. */
  Optional<Row> read(String table, String key) throws PlatformException;

  /**
   * Reads one page of the rows of a table, in ascending order of their keys.
   *
   * @param keyPrefix prefix of the keys to read; empty for all
   * @param afterKey the page starts after this key; empty for the first page
   * @param limit maximum number of rows to return
   */
  List<Row> scan(String table, String keyPrefix, String afterKey, int limit)
      throws PlatformException;

  /**
   * Applies all writes atomically, or none of them.
   *
   * @param writes at most one write for each row, because all preconditions are checked against the
   *     rows as they are before the transaction
   */
  CommitResult commit(List<Write> writes) throws PlatformException;
}
