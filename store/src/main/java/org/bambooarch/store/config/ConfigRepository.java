package org.bambooarch.store.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.LoggedChange;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.store.CommitResult;
import org.bambooarch.store.NotAppliedException;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.Row;
import org.bambooarch.store.TableService;
import org.bambooarch.store.UnknownOutcomeException;
import org.bambooarch.store.Write;

/**
 * The log of accepted configuration changes in the platform's table service.
 *
 * <p>The row {@code head} of the table {@code config} holds the newest version; each change has a
 * row of its own. Both are written in one transaction, so each version belongs to exactly one
 * change. Calls block.
 */
public final class ConfigRepository {

  private static final String TABLE = "config";
  private static final String HEAD_KEY = "head";
  private static final int PAGE_ROWS = 500;
  private static final int MAX_COMMITS = 3;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final TableService tables;

  /** Creates a repository that reads and writes the given table service. */
  public ConfigRepository(TableService tables) {
    this.tables = tables;
  }

  /**
   * An accepted change, without its content. The component names are the field names of the JSON in
   * the row {@code head}.
   *
   * @param version version after the change
   * @param changeId identifier that the operator's command gave the change
   * @param author name of the operator who made the change
   */
  public record Head(long version, String changeId, String author) {}

  /** The outcome of a proposed change. */
  public sealed interface ProposeResult {

    /**
     * The change was accepted.
     *
     * @param head the change as accepted
     * @param readBack whether it was found in the table, written by an earlier commit whose
     *     response was lost or by an earlier proposal
     */
    record Accepted(Head head, boolean readBack) implements ProposeResult {}

    /**
     * Another change was accepted first, so this one was not applied.
     *
     * @param other the accepted change of the proposed version, or the head if that version has no
     *     change
     */
    record Conflict(Head other) implements ProposeResult {}
  }

  /** Reads the newest accepted change; its version is 0 if there is none yet. */
  public Head readHead() throws PlatformException, InvalidInventoryException {
    Optional<Row> row = tables.read(TABLE, HEAD_KEY);
    return row.isPresent() ? parseHead(row.get()) : new Head(0, "", "");
  }

  /**
   * Proposes a change on top of an expected version.
   *
   * <p>If the response to a commit is lost, the row of the next version shows the outcome: it holds
   * this change or another one, or does not exist yet. Only if it does not exist the commit is sent
   * again. Both commits expect the same version of the head row, so at most one of them takes
   * effect. To propose again after an exception, use the same change id and the same expected
   * version.
   *
   * @throws NotAppliedException if the change was certainly not accepted
   * @throws UnknownOutcomeException if the change may have been accepted, because the table service
   *     stopped responding before the outcome could be read
   */
  public ProposeResult propose(
      long expectedVersion, String changeId, String author, ConfigChange change)
      throws PlatformException, InvalidInventoryException {
    ChangeRow next = ChangeRow.of(expectedVersion + 1, changeId, author, change);
    boolean mayBeAccepted = false;
    PlatformException lastFailure = null;
    for (int commit = 0; commit < MAX_COMMITS; commit++) {
      try {
        Optional<ProposeResult> decided = commitOnce(next);
        if (decided.isPresent()) {
          return decided.get();
        }
      } catch (UnknownOutcomeException e) {
        mayBeAccepted = true;
        lastFailure = e;
      } catch (NotAppliedException e) {
        lastFailure = e;
      }
    }
    throw undecidedException(next, mayBeAccepted, lastFailure);
  }

  private static PlatformException undecidedException(
      ChangeRow next, boolean mayBeAccepted, PlatformException lastFailure) {
    String message =
        "change %s on top of version %d: no confirmed commit after %d attempts"
            .formatted(next.changeId(), next.version() - 1, MAX_COMMITS);
    return mayBeAccepted
        ? new UnknownOutcomeException(message + "; it may have been accepted", lastFailure)
        : new NotAppliedException(message + "; it was not accepted", lastFailure);
  }

  /**
   * Makes one attempt to commit a change. Returns empty if another commit took effect in between;
   * the next attempt then reads from the table which change was accepted.
   */
  private Optional<ProposeResult> commitOnce(ChangeRow next)
      throws PlatformException, InvalidInventoryException {
    Optional<Row> headRow = tables.read(TABLE, HEAD_KEY);
    Head current = headRow.isPresent() ? parseHead(headRow.get()) : new Head(0, "", "");
    if (current.version() != next.version() - 1) {
      return Optional.of(resolve(next, current));
    }
    String headJson = writeHead(next.toHead());
    Write headWrite =
        headRow.isPresent()
            ? Write.replace(headRow.get(), headJson)
            : Write.insert(TABLE, HEAD_KEY, headJson);
    Write changeWrite = Write.insert(TABLE, ChangeRow.key(next.version()), next.text());
    return switch (tables.commit(List.of(headWrite, changeWrite))) {
      case CommitResult.Committed committed ->
          Optional.of(new ProposeResult.Accepted(next.toHead(), false));
      case CommitResult.Conflict conflict -> Optional.empty();
    };
  }

  /** Reads from the row of the proposed version whether it holds this change or another one. */
  private ProposeResult resolve(ChangeRow next, Head current)
      throws PlatformException, InvalidInventoryException {
    Optional<Row> row = tables.read(TABLE, ChangeRow.key(next.version()));
    if (row.isEmpty()) {
      return new ProposeResult.Conflict(current);
    }
    ChangeRow stored = ChangeRow.parse(row.get());
    return stored.changeId().equals(next.changeId())
        ? new ProposeResult.Accepted(stored.toHead(), true)
        : new ProposeResult.Conflict(stored.toHead());
  }

  /** Reads the changes after a version in their stored text, oldest first, page by page. */
  public List<LoggedChange> readLoggedChangesAfter(long version)
      throws PlatformException, InvalidInventoryException {
    List<LoggedChange> changes = new ArrayList<>();
    String lastKey = ChangeRow.key(version);
    while (true) {
      List<Row> page = tables.scan(TABLE, ChangeRow.keyPrefix(), lastKey, PAGE_ROWS);
      for (Row row : page) {
        changes.add(ChangeRow.parse(row).toLoggedChange());
      }
      if (page.size() < PAGE_ROWS) {
        return changes;
      }
      lastKey = page.getLast().key();
    }
  }

  /** Reads the changes after a version, oldest first. */
  public List<ConfigChange> readChangesAfter(long version)
      throws PlatformException, InvalidInventoryException {
    List<ConfigChange> changes = new ArrayList<>();
    for (LoggedChange change : readLoggedChangesAfter(version)) {
      changes.add(ChangeJson.read(change.text()));
    }
    return changes;
  }

  /** Returns a state with all newer changes applied, up to the newest accepted version. */
  public ConfigState catchUp(ConfigState state)
      throws PlatformException, InvalidInventoryException {
    ConfigState latest = state;
    for (ConfigChange change : readChangesAfter(state.version())) {
      latest = latest.apply(change);
    }
    return latest;
  }

  private static Head parseHead(Row row) throws InvalidInventoryException {
    try {
      return MAPPER.readValue(row.value(), Head.class);
    } catch (JsonProcessingException e) {
      throw new InvalidInventoryException("row config/head: " + e.getMessage(), e);
    }
  }

  private static String writeHead(Head head) {
    try {
      return MAPPER.writeValueAsString(head);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "cannot write the configuration head as JSON, which must always be possible", e);
    }
  }
}
