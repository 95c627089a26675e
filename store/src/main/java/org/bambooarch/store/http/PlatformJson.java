package org.bambooarch.store.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.bambooarch.store.InstanceRecord;
import org.bambooarch.store.Row;
import org.bambooarch.store.Write;

/** The JSON documents and paths of the platform's HTTP interface. */
public final class PlatformJson {

  /** Path to read one row. */
  public static final String ROW_PATH = "/row";

  /** Path to read a range of rows. */
  public static final String SCAN_PATH = "/scan";

  /** Path to commit a transaction. */
  public static final String COMMIT_PATH = "/commit";

  /** Path to read, store or delete one object. */
  public static final String OBJECT_PATH = "/object";

  /** Path to list the names of objects. */
  public static final String OBJECTS_PATH = "/objects";

  /** Path to read the list of instances and to announce one. */
  public static final String INSTANCES_PATH = "/instances";

  /** Mapper that reads and writes these documents; thread-safe. */
  public static final ObjectMapper MAPPER = new ObjectMapper();

  private PlatformJson() {}

  /** Kind of a conditional write. */
  public enum WriteKind {
    /** Creates a row. */
    INSERT,
    /** Replaces a row. */
    REPLACE,
    /** Deletes a row. */
    DELETE
  }

  /**
   * A conditional write as JSON.
   *
   * @param expectedVersion version that the row must have; 0 for an insert
   * @param value new value of the row; null for a delete
   */
  public record WriteDocument(
      WriteKind kind, String table, String key, long expectedVersion, String value) {

    /** Returns the JSON form of a write. */
    public static WriteDocument from(Write write) {
      return switch (write) {
        case Write.Insert w ->
            new WriteDocument(WriteKind.INSERT, w.table(), w.key(), 0, w.value());
        case Write.Replace w ->
            new WriteDocument(
                WriteKind.REPLACE, w.table(), w.key(), w.expectedVersion(), w.value());
        case Write.Delete w ->
            new WriteDocument(WriteKind.DELETE, w.table(), w.key(), w.expectedVersion(), null);
      };
    }

    /** Returns the write that this document stands for. */
    public Write toWrite() {
      return switch (kind) {
        case INSERT -> new Write.Insert(table, key, value);
        case REPLACE -> new Write.Replace(table, key, expectedVersion, value);
        case DELETE -> new Write.Delete(table, key, expectedVersion);
      };
    }
  }

  /** Body of a request to {@link #COMMIT_PATH}. */
  public record CommitDocument(List<WriteDocument> writes) {}

  /**
   * Body of a response with rows: those of a scan, those that a commit wrote, or those on which it
   * failed.
   */
  public record RowsDocument(List<Row> rows) {}

  /** Body of a response of {@link #OBJECTS_PATH}. */
  public record NamesDocument(List<String> names) {}

  /** Body of a response of {@link #INSTANCES_PATH}. */
  public record InstancesDocument(List<InstanceRecord> instances) {}
}
