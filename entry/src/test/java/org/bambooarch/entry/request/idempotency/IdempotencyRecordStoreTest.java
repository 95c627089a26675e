package org.bambooarch.entry.request.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.bambooarch.core.request.idempotency.IdempotencyRecord;
import org.bambooarch.core.request.idempotency.IdempotencyRecordKey;
import org.bambooarch.core.request.idempotency.IdempotencyRecordOwner;
import org.bambooarch.core.request.idempotency.IdempotencyRecordState;
import org.bambooarch.core.request.idempotency.IdempotencyStep;
import org.bambooarch.core.request.idempotency.RequestDigest;
import org.bambooarch.core.request.idempotency.StoreReply;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.standin.InMemoryTableService;
import org.bambooarch.store.CommitResult;
import org.bambooarch.store.Row;
import org.bambooarch.store.TableService;
import org.bambooarch.store.Write;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class IdempotencyRecordStoreTest {

  private final BlockingTables tables = new BlockingTables();
  private final IdempotencyRecordStore store =
      new IdempotencyRecordStore(tables, SystemClock.systemClock());

  @AfterEach
  void stopStore() {
    store.close();
  }

  @Test
  void should_commit_one_insert_and_report_a_conflict_when_two_inserts_of_one_record_are_queued()
      throws Exception {
    // given
    for (int i = 0; i < IdempotencyRecordStore.MAX_CONCURRENT_COMMITS; i++) {
      insert("other-" + i, i);
      while (tables.commits.get() <= i) {
        Thread.onSpinWait();
      }
    }
    // when
    CompletableFuture<StoreReply> first = insert("same", 100);
    CompletableFuture<StoreReply> second = insert("same", 101);
    while (store.queuedWrites() < 1) {
      Thread.onSpinWait();
    }
    tables.release.countDown();
    // then
    assertThat(List.of(first.get(), second.get()))
        .hasAtLeastOneElementOfType(StoreReply.Committed.class)
        .hasAtLeastOneElementOfType(StoreReply.Conflict.class);
  }

  private CompletableFuture<StoreReply> insert(String key, long attempt) {
    IdempotencyRecord record =
        new IdempotencyRecord(
            RequestDigest.of("POST", "/orders", new byte[0]),
            new IdempotencyRecordOwner("entry-1", 1, attempt),
            new IdempotencyRecordState.Pending(Long.MAX_VALUE),
            Long.MAX_VALUE);
    IdempotencyStep.Insert call =
        new IdempotencyStep.Insert(
            new IdempotencyRecordKey("kerala", key), record, System.nanoTime());
    CompletableFuture<StoreReply> reply = new CompletableFuture<>();
    Thread.startVirtualThread(
        () -> {
          try {
            reply.complete(store.execute(call));
          } catch (InterruptedException e) {
            reply.completeExceptionally(e);
          }
        });
    return reply;
  }

  /** Holds the first commits back until all slots for commits are taken. */
  private static final class BlockingTables implements TableService {

    private final InMemoryTableService rows = new InMemoryTableService();
    private final AtomicInteger commits = new AtomicInteger();
    private final CountDownLatch release = new CountDownLatch(1);

    @Override
    public Optional<Row> read(String table, String key) {
      return rows.read(table, key);
    }

    @Override
    public List<Row> scan(String table, String keyPrefix, String afterKey, int limit) {
      return rows.scan(table, keyPrefix, afterKey, limit);
    }

    @Override
    public CommitResult commit(List<Write> writes) {
      commits.incrementAndGet();
      try {
        release.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return rows.commit(writes);
    }
  }
}
