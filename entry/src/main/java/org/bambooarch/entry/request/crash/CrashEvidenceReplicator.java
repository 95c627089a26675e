package org.bambooarch.entry.request.crash;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.bambooarch.core.request.crash.CrashEvidence;
import org.bambooarch.core.request.crash.CrashFingerprint;
import org.bambooarch.core.request.crash.CrashMessage;
import org.bambooarch.core.request.crash.CrashTable;
import org.bambooarch.core.time.Clock;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.Row;
import org.bambooarch.store.TableService;
import org.bambooarch.store.Write;
import org.tinylog.Logger;

/**
 * Spreads what this instance knows of requests that crash targets, and takes in what others know.
 *
 * <p>Messages are the fast way. The table {@code crashes} covers instances that messages do not
 * reach: evidence is written until the table has it, and each instance scans the table.
 */
public final class CrashEvidenceReplicator implements AutoCloseable {

  /** Table that holds the evidence, one row for each death. */
  public static final String TABLE = "crashes";

  private static final long SCAN_INTERVAL_MILLIS = 400;
  private static final int PAGE_ROWS = 1_000;
  private static final int MAX_PENDING_WRITES = 1_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final CrashTable table = new CrashTable();
  private final TableService tables;
  private final Consumer<CrashMessage> broadcast;
  private final String instance;
  private final long incarnation;
  private final Clock clock;
  private final AtomicLong nextSequence = new AtomicLong(1);
  private final Queue<CrashMessage> pendingWrites = new ConcurrentLinkedQueue<>();
  private final Thread replicationThread;

  /**
   * Creates the reports of one instance and starts to scan the table.
   *
   * @param broadcast sends a message to the other instances without waiting
   */
  public CrashEvidenceReplicator(
      TableService tables,
      Consumer<CrashMessage> broadcast,
      String instance,
      long incarnation,
      Clock clock) {
    this.tables = tables;
    this.broadcast = broadcast;
    this.instance = instance;
    this.incarnation = incarnation;
    this.clock = clock;
    this.replicationThread = Thread.ofVirtual().name("crash-reports").start(this::runReplication);
  }

  /** Returns the evidence known here. */
  public CrashTable table() {
    return table;
  }

  /** Reports that a request ended with the death of its target. */
  public void onServerCrash(CrashFingerprint fingerprint, String server) {
    long expiresAtWallMillis = clock.wallMillis() + CrashEvidence.RETENTION_MILLIS;
    CrashEvidence evidence =
        new CrashEvidence(
            fingerprint,
            server,
            instance,
            incarnation,
            nextSequence.getAndIncrement(),
            expiresAtWallMillis);
    table.add(evidence, clock.wallMillis());
    replicate(new CrashMessage.CrashReport(evidence));
    Logger.warn("event=target-died-of-request server={} id={}", server, evidence.id());
  }

  /** Notes that a request was answered in full. */
  public void onResponse(CrashFingerprint fingerprint) {
    table.clear(fingerprint).ifPresent(this::replicate);
  }

  /** Takes in a message of another instance. */
  public void onPeerMessage(CrashMessage message) {
    table.apply(message, clock.wallMillis());
  }

  @Override
  public void close() {
    replicationThread.interrupt();
  }

  private void replicate(CrashMessage message) {
    broadcast.accept(message);
    if (pendingWrites.size() < MAX_PENDING_WRITES) {
      pendingWrites.add(message);
    }
  }

  private void runReplication() {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        writePending();
        scan();
        table.removeExpired(clock.wallMillis());
      } catch (PlatformException e) {
        Logger.debug("event=crashes-not-scanned reason=\"{}\"", e.getMessage());
      }
      try {
        Thread.sleep(SCAN_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void writePending() throws PlatformException {
    CrashMessage message = pendingWrites.peek();
    while (message != null) {
      switch (message) {
        case CrashMessage.CrashReport(CrashEvidence evidence) ->
            tables.commit(List.of(Write.insert(TABLE, evidence.id(), toJson(evidence))));
        case CrashMessage.CrashCleared cleared -> delete(cleared.evidenceIds());
      }
      pendingWrites.poll();
      message = pendingWrites.peek();
    }
  }

  private void delete(List<String> ids) throws PlatformException {
    for (String id : ids) {
      Optional<Row> row = tables.read(TABLE, id);
      if (row.isPresent()) {
        tables.commit(List.of(Write.delete(row.get())));
      }
    }
  }

  private void scan() throws PlatformException {
    String afterKey = "";
    while (true) {
      List<Row> rows = tables.scan(TABLE, "", afterKey, PAGE_ROWS);
      for (Row row : rows) {
        fromJson(row.value()).ifPresent(evidence -> table.add(evidence, clock.wallMillis()));
      }
      if (rows.size() < PAGE_ROWS) {
        return;
      }
      afterKey = rows.getLast().key();
    }
  }

  private static String toJson(CrashEvidence evidence) {
    return MAPPER
        .createObjectNode()
        .put("fingerprint", evidence.fingerprint().hex())
        .put("server", evidence.server())
        .put("instance", evidence.instance())
        .put("incarnation", evidence.incarnation())
        .put("sequence", evidence.sequence())
        .put("expiresAtWallMillis", evidence.expiresAtWallMillis())
        .toString();
  }

  private static Optional<CrashEvidence> fromJson(String text) {
    try {
      JsonNode row = MAPPER.readTree(text);
      return Optional.of(
          new CrashEvidence(
              new CrashFingerprint(row.path("fingerprint").asText()),
              row.path("server").asText(),
              row.path("instance").asText(),
              row.path("incarnation").asLong(),
              row.path("sequence").asLong(),
              row.path("expiresAtWallMillis").asLong()));
    } catch (JsonProcessingException e) {
      Logger.error("event=crash-row-unreadable reason=\"{}\"", e.getOriginalMessage());
      return Optional.empty();
    }
  }
}
