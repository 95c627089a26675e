package org.bambooarch.entry.request.idempotency;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import org.bambooarch.core.request.idempotency.IdempotencyStep;
import org.bambooarch.core.request.idempotency.StoreReply;
import org.bambooarch.core.request.idempotency.VersionedIdempotencyRecord;
import org.bambooarch.core.time.Clock;
import org.bambooarch.store.CommitResult;
import org.bambooarch.store.NotAppliedException;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.Row;
import org.bambooarch.store.TableService;
import org.bambooarch.store.UnknownOutcomeException;
import org.bambooarch.store.Write;
import org.tinylog.Logger;

/**
 * Carries out the store calls of order attempts; writes that wait together share one commit.
 *
 * <p>Calls block; make them on a virtual thread.
 */
public final class IdempotencyRecordStore implements AutoCloseable {

  /** Table that holds the recorded requests. */
  public static final String TABLE = "orders";

  /** The most writes in one commit. */
  static final int MAX_WRITES_PER_COMMIT = 64;

  /** The most commits under way at once. */
  static final int MAX_CONCURRENT_COMMITS = 4;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private record QueuedWrite(Write write, CompletableFuture<StoreReply> reply) {}

  private final TableService tables;
  private final Clock clock;
  private final BlockingQueue<QueuedWrite> queue = new LinkedBlockingQueue<>();
  private final Semaphore commitSlots = new Semaphore(MAX_CONCURRENT_COMMITS);
  private final Thread batchThread;

  /** Creates a ledger over the table service and starts its batching thread. */
  public IdempotencyRecordStore(TableService tables, Clock clock) {
    this.tables = tables;
    this.clock = clock;
    this.batchThread = Thread.ofVirtual().name("order-ledger").start(this::commitBatches);
  }

  /** Carries out a call and waits for the reply. */
  public StoreReply execute(IdempotencyStep.Call call) throws InterruptedException {
    waitUntil(call.notBeforeNanos());
    return switch (call) {
      case IdempotencyStep.Read read -> read(read.key().rowKey());
      case IdempotencyStep.Insert insert ->
          commit(
              Write.insert(
                  TABLE, call.key().rowKey(), IdempotencyRecordJson.toJson(insert.record())));
      case IdempotencyStep.Replace replace ->
          commit(
              new Write.Replace(
                  TABLE,
                  call.key().rowKey(),
                  replace.expectedVersion(),
                  IdempotencyRecordJson.toJson(replace.record())));
    };
  }

  /** Returns how many writes wait for a commit. */
  int queuedWrites() {
    return queue.size();
  }

  @Override
  public void close() {
    batchThread.interrupt();
  }

  private void waitUntil(long notBeforeNanos) throws InterruptedException {
    long waitMillis = (notBeforeNanos - clock.monotonicNanos()) / NANOS_PER_MILLI;
    if (waitMillis > 0) {
      Thread.sleep(waitMillis);
    }
  }

  private StoreReply read(String rowKey) {
    try {
      Optional<Row> row = tables.read(TABLE, rowKey);
      return new StoreReply.ReadResult(row.flatMap(IdempotencyRecordStore::toRecord));
    } catch (PlatformException e) {
      return new StoreReply.Indeterminate();
    }
  }

  private StoreReply commit(Write write) throws InterruptedException {
    QueuedWrite queued = new QueuedWrite(write, new CompletableFuture<>());
    queue.put(queued);
    return queued.reply().join();
  }

  private void commitBatches() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        QueuedWrite first = queue.take();
        commitSlots.acquire();
        List<QueuedWrite> batch = new ArrayList<>(List.of(first));
        queue.drainTo(batch, MAX_WRITES_PER_COMMIT - 1);
        Thread.startVirtualThread(() -> commitAndRelease(batch));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void commitAndRelease(List<QueuedWrite> batch) {
    try {
      List<QueuedWrite> remaining = batch;
      while (!remaining.isEmpty()) {
        remaining = commitFirstOfEachRow(remaining);
      }
    } finally {
      batch.forEach(queued -> queued.reply().complete(new StoreReply.Indeterminate()));
      commitSlots.release();
    }
  }

  /**
   * Commits the first write of each row and returns the others.
   *
   * <p>Expectations are checked against the rows before a commit, so two writes of one row in the
   * same commit could both hold.
   */
  private List<QueuedWrite> commitFirstOfEachRow(List<QueuedWrite> batch) {
    Set<String> rowKeys = new HashSet<>();
    List<QueuedWrite> firsts = new ArrayList<>();
    List<QueuedWrite> others = new ArrayList<>();
    for (QueuedWrite queued : batch) {
      boolean isFirst = rowKeys.add(queued.write().key());
      (isFirst ? firsts : others).add(queued);
    }
    commitBatch(firsts);
    return others;
  }

  private void commitBatch(List<QueuedWrite> batch) {
    try {
      switch (tables.commit(batch.stream().map(QueuedWrite::write).toList())) {
        case CommitResult.Committed(List<Row> rows) -> replyCommitted(batch, rows);
        case CommitResult.Conflict(List<Row> current) -> resolveConflict(batch, current);
      }
    } catch (NotAppliedException e) {
      Logger.warn("event=orders-not-written orders={} reason=\"{}\"", batch.size(), e.getMessage());
      batch.forEach(queued -> queued.reply().complete(new StoreReply.NotApplied()));
    } catch (UnknownOutcomeException e) {
      Logger.warn(
          "event=orders-write-unknown orders={} reason=\"{}\"", batch.size(), e.getMessage());
    } catch (PlatformException e) {
      Logger.warn("event=orders-write-failed reason=\"{}\"", e.getMessage());
    }
  }

  private static void replyCommitted(List<QueuedWrite> batch, List<Row> rows) {
    for (int i = 0; i < batch.size(); i++) {
      batch.get(i).reply().complete(new StoreReply.Committed(rows.get(i).version()));
    }
  }

  /** One failed expectation fails the whole commit: answer its order and commit the others. */
  private void resolveConflict(List<QueuedWrite> batch, List<Row> current) {
    List<QueuedWrite> others = new ArrayList<>();
    for (QueuedWrite queued : batch) {
      Optional<Row> row = rowOf(queued, current);
      if (row.isPresent()) {
        reply(queued, row.flatMap(IdempotencyRecordStore::toRecord));
      } else {
        others.add(queued);
      }
    }
    if (others.isEmpty()) {
      return;
    }
    if (others.size() < batch.size()) {
      commitBatch(others);
    } else if (batch.size() == 1) {
      reply(batch.getFirst(), Optional.empty());
    } else {
      others.forEach(queued -> commitBatch(List.of(queued)));
    }
  }

  private static void reply(QueuedWrite queued, Optional<VersionedIdempotencyRecord> current) {
    queued.reply().complete(new StoreReply.Conflict(current));
  }

  private static Optional<Row> rowOf(QueuedWrite queued, List<Row> rows) {
    return rows.stream().filter(row -> row.key().equals(queued.write().key())).findFirst();
  }

  private static Optional<VersionedIdempotencyRecord> toRecord(Row row) {
    try {
      return Optional.of(
          new VersionedIdempotencyRecord(
              IdempotencyRecordJson.fromJson(row.value()), row.version()));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("row " + row.table() + "/" + row.key() + " is no JSON", e);
    }
  }
}
