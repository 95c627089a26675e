package org.bambooarch.standin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.bambooarch.store.CommitResult;
import org.bambooarch.store.Row;
import org.bambooarch.store.TableService;
import org.bambooarch.store.Write;

/** A table service that keeps its rows in memory and runs its transactions one after another. */
public final class InMemoryTableService implements TableService {

  private record RowKey(String table, String key) implements Comparable<RowKey> {
    @Override
    public int compareTo(RowKey other) {
      int byTable = table.compareTo(other.table);
      return byTable != 0 ? byTable : key.compareTo(other.key);
    }
  }

  private final TreeMap<RowKey, Row> rows = new TreeMap<>();
  private long lastVersion;

  @Override
  public synchronized Optional<Row> read(String table, String key) {
    return Optional.ofNullable(rows.get(new RowKey(table, key)));
  }

  @Override
  public synchronized List<Row> scan(String table, String keyPrefix, String afterKey, int limit) {
    List<Row> found = new ArrayList<>();
    String from = afterKey.compareTo(keyPrefix) > 0 ? afterKey : keyPrefix;
    for (Row row : rows.tailMap(new RowKey(table, from), true).values()) {
      if (!row.table().equals(table) || !row.key().startsWith(keyPrefix) || found.size() >= limit) {
        break;
      }
      if (row.key().compareTo(afterKey) > 0) {
        found.add(row);
      }
    }
    return found;
  }

  @Override
  public synchronized CommitResult commit(List<Write> writes) {
    requireOneWritePerRow(writes);
    List<Row> conflictingRows = new ArrayList<>();
    boolean conflict = false;
    for (Write write : writes) {
      Row row = rows.get(new RowKey(write.table(), write.key()));
      if (!isExpected(write, row)) {
        conflict = true;
        if (row != null) {
          conflictingRows.add(row);
        }
      }
    }
    if (conflict) {
      return new CommitResult.Conflict(conflictingRows);
    }
    return new CommitResult.Committed(applyAll(writes));
  }

  private static void requireOneWritePerRow(List<Write> writes) {
    Set<RowKey> written = new HashSet<>();
    for (Write write : writes) {
      if (!written.add(new RowKey(write.table(), write.key()))) {
        throw new IllegalArgumentException(
            "expected one write of each row in a transaction but got two of %s/%s"
                .formatted(write.table(), write.key()));
      }
    }
  }

  private static boolean isExpected(Write write, Row row) {
    return switch (write) {
      case Write.Insert insert -> row == null;
      case Write.Replace replace -> row != null && row.version() == replace.expectedVersion();
      case Write.Delete delete -> row != null && row.version() == delete.expectedVersion();
    };
  }

  private List<Row> applyAll(List<Write> writes) {
    List<Row> written = new ArrayList<>();
    for (Write write : writes) {
      lastVersion++;
      RowKey key = new RowKey(write.table(), write.key());
      switch (write) {
        case Write.Insert insert ->
            written.add(new Row(insert.table(), insert.key(), lastVersion, insert.value()));
        case Write.Replace replace ->
            written.add(new Row(replace.table(), replace.key(), lastVersion, replace.value()));
        case Write.Delete delete -> rows.remove(key);
      }
    }
    for (Row row : written) {
      rows.put(new RowKey(row.table(), row.key()), row);
    }
    return written;
  }
}
