package org.bambooarch.store.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.bambooarch.store.CommitResult;
import org.bambooarch.store.NotAppliedException;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.Row;
import org.bambooarch.store.TableService;
import org.bambooarch.store.UnknownOutcomeException;
import org.bambooarch.store.Write;

/**
 * One table in memory whose next commits fail with the queued faults, one fault for each commit.
 *
 * <p>With {@code readsFailAfterFault}, all reads after the first fault are refused.
 */
final class FaultyTables implements TableService {

  enum Fault {
    /** The commit takes effect, and the caller does not get the response. */
    LOSE_ANSWER,
    /** The commit does not arrive, and the caller does not get a response either. */
    LOSE_REQUEST,
    /** The commit takes effect only just before the next one; the caller gets no response. */
    DELAY,
    /** The commit is refused without effect, and the caller is told so. */
    REFUSE
  }

  final Deque<Fault> faults = new ArrayDeque<>();
  boolean readsFailAfterFault;
  private final TreeMap<String, Row> rowsByKey = new TreeMap<>();
  private List<Write> delayed = List.of();
  private boolean readsFail;
  private long lastVersion;

  @Override
  public Optional<Row> read(String table, String key) throws PlatformException {
    if (readsFail) {
      throw new NotAppliedException("read refused by the test", null);
    }
    return Optional.ofNullable(rowsByKey.get(key));
  }

  @Override
  public List<Row> scan(String table, String keyPrefix, String afterKey, int limit) {
    return rowsByKey.tailMap(afterKey, false).values().stream()
        .filter(row -> row.key().startsWith(keyPrefix))
        .limit(limit)
        .toList();
  }

  @Override
  public CommitResult commit(List<Write> writes) throws PlatformException {
    apply(delayed);
    delayed = List.of();
    if (faults.isEmpty()) {
      return apply(writes);
    }
    readsFail = readsFailAfterFault;
    switch (faults.poll()) {
      case LOSE_ANSWER -> apply(writes);
      case DELAY -> delayed = writes;
      case REFUSE -> throw new NotAppliedException("commit refused by the test", null);
      case LOSE_REQUEST -> delayed = List.of();
      default -> throw new AssertionError("fault without a case in this switch");
    }
    throw new UnknownOutcomeException("commit without a response in the test", null);
  }

  private CommitResult apply(List<Write> writes) {
    List<Row> written = new ArrayList<>();
    for (Write write : writes) {
      Row row = rowsByKey.get(write.key());
      String value =
          switch (write) {
            case Write.Insert insert when row == null -> insert.value();
            case Write.Replace replace
                when row != null && row.version() == replace.expectedVersion() ->
                replace.value();
            default -> null;
          };
      if (value == null) {
        return new CommitResult.Conflict(row == null ? List.of() : List.of(row));
      }
      written.add(new Row(write.table(), write.key(), ++lastVersion, value));
    }
    written.forEach(row -> rowsByKey.put(row.key(), row));
    return new CommitResult.Committed(written);
  }
}
