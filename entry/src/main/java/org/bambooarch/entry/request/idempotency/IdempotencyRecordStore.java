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
 * Executes the store calls of {@link IdempotencyStep}s on the table of idempotency records.
 *
 * <p>Writes that are queued at the same time are combined into one commit. Calls block, so they
 * must be made on virtual threads.
 */
public final class IdempotencyRecordStore implements AutoCloseable {

  /** Table of the idempotency records, one row for each key. */
  public static final String TABLE = "orders";

  /** Largest number of writes in one commit. */
  static final int MAX_WRITES_PER_COMMIT = 64;

  /** Largest number of commits in progress at the same time. */
  static final int MAX_CONCURRENT_COMMITS = 4;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A write and the reply that its caller waits for. */
  private record QueuedWrite(Write write, CompletableFuture<StoreReply> reply) {}

  private final TableService tables;
  private final Clock clock;
  private final BlockingQueue<QueuedWrite> queue = new LinkedBlockingQueue<>();
  private final Semaphore commitSlots = new Semaphore(MAX_CONCURRENT_COMMITS);
  private final Thread batchThread;

  /** Creates a store and starts the thread that combines queued writes into commits. */
  public IdempotencyRecordStore(TableService tables, Clock clock) {
    this.tables = tables;
    this.clock = clock;
    this.batchThread = Thread.ofVirtual().name("order-ledger").start(this::commitBatches);
  }

  /**
   * Executes a call, not before the time that it names, and waits for the reply.
   *
   * @return {@link StoreReply.Indeterminate} if it is not known whether a write took effect, or if
   *     a read failed
   * @throws InterruptedException if the thread is interrupted before the call is made; interruption
   *     does not end the wait for the reply to a write
   */
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

  /** Returns how many writes are queued and not yet part of a commit. */
  int queuedWrites() {
    return queue.size();
  }

  /** Stops the thread that makes commits; writes that are still queued get no reply. */
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
   * Commits the first write to each row and returns the other writes.
   *
   * <p>The table service checks expected versions against the rows as they were before the commit,
   * so the expectations of two writes to one row in the same commit could both hold.
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

  /**
   * Handles a commit of which nothing was written, because the expected version of at least one row
   * did not hold: replies with a conflict to the writes of the reported rows and commits the others
   * again. If no reported row belongs to the batch, the writes are committed one by one.
   */
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
      throw new IllegalStateException(
          "row " + row.table() + "/" + row.key() + " does not contain valid JSON", e);
    }
  }
}
