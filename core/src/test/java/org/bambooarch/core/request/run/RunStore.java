package org.bambooarch.core.request.run;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.bambooarch.core.request.idempotency.IdempotencyRecord;
import org.bambooarch.core.request.idempotency.IdempotencyStep;
import org.bambooarch.core.request.idempotency.StoreReply;
import org.bambooarch.core.request.idempotency.VersionedIdempotencyRecord;

/** A table service in memory that is down, slow, forgetful of answers and late by turns. */
final class RunStore {

  private static final long TIMEOUT_NANOS = 300 * RunWorld.MILLI;

  private final RunWorld world;
  private final Map<String, VersionedIdempotencyRecord> rows = new HashMap<>();
  private long lastVersion;
  boolean down;
  private long recoveredNanos;

  RunStore(RunWorld world) {
    this.world = world;
  }

  void recover() {
    down = false;
    recoveredNanos = world.clock.monotonicNanos();
  }

  /** Whether the store is down, or up for less time than an instance's next scan may take. */
  boolean wasDownOfLate() {
    return down || world.clock.monotonicNanos() - recoveredNanos < 1_000 * RunWorld.MILLI;
  }

  void carryOut(IdempotencyStep.Call call, Consumer<StoreReply> whenDone) {
    long waitNanos = call.notBeforeNanos() - world.clock.monotonicNanos();
    world.after(waitNanos + world.millis(1, 30), () -> arrive(call, whenDone));
  }

  private void arrive(IdempotencyStep.Call call, Consumer<StoreReply> whenDone) {
    if (down) {
      StoreReply reply = world.chance(0.5) ? new StoreReply.NotApplied() : new StoreReply.Indeterminate();
      world.after(TIMEOUT_NANOS, () -> whenDone.accept(reply));
      return;
    }
    if (world.chance(0.04)) {
      long lateNanos = world.chance(0.5) ? 0 : world.millis(100, 3_000);
      world.after(lateNanos, () -> apply(call));
      world.after(TIMEOUT_NANOS, () -> whenDone.accept(new StoreReply.Indeterminate()));
      return;
    }
    StoreReply reply = apply(call);
    long slowNanos = world.chance(0.05) ? world.millis(100, 1_500) : world.millis(1, 30);
    world.after(slowNanos, () -> whenDone.accept(reply));
  }

  private StoreReply apply(IdempotencyStep.Call call) {
    Optional<VersionedIdempotencyRecord> current = Optional.ofNullable(rows.get(call.key().rowKey()));
    return switch (call) {
      case IdempotencyStep.Read read -> new StoreReply.ReadResult(current);
      case IdempotencyStep.Insert insert ->
          current.isEmpty() ? write(call, insert.record()) : new StoreReply.Conflict(current);
      case IdempotencyStep.Replace replace -> {
        boolean expected =
            current.isPresent() && current.get().version() == replace.expectedVersion();
        yield expected ? write(call, replace.record()) : new StoreReply.Conflict(current);
      }
    };
  }

  private StoreReply write(IdempotencyStep.Call call, IdempotencyRecord record) {
    lastVersion++;
    rows.put(call.key().rowKey(), new VersionedIdempotencyRecord(record, lastVersion));
    return new StoreReply.Committed(lastVersion);
  }
}
