package org.bambooarch.core.request.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.bambooarch.core.request.idempotency.IdempotencyRecord;
import org.bambooarch.core.request.idempotency.IdempotencyStep;
import org.bambooarch.core.request.idempotency.StoreReply;
import org.bambooarch.core.request.idempotency.VersionedIdempotencyRecord;

/**
 * An in-memory table service that is at times down or slow, loses replies, and applies writes late.
 */
final class SimulatedStore {

  private static final long TIMEOUT_NANOS = 300 * SimulationContext.NANOS_PER_MILLI;

  private final SimulationContext context;
  private final Map<String, VersionedIdempotencyRecord> rows = new HashMap<>();
  private long lastVersion;
  boolean down;
  private long recoveredAtNanos;

  SimulatedStore(SimulationContext context) {
    this.context = context;
  }

  void recover() {
    down = false;
    recoveredAtNanos = context.clock.monotonicNanos();
  }

  /**
   * Returns whether the store is down, or was down within the last second, in which an instance may
   * not have scanned its tables yet.
   */
  boolean wasRecentlyDown() {
    return down
        || context.clock.monotonicNanos() - recoveredAtNanos
            < 1_000 * SimulationContext.NANOS_PER_MILLI;
  }

  void execute(IdempotencyStep.Call call, Consumer<StoreReply> whenDone) {
    long delayNanos = call.notBeforeNanos() - context.clock.monotonicNanos();
    context.schedule(delayNanos + context.randomDelayNanos(1, 30), () -> arrive(call, whenDone));
  }

  private void arrive(IdempotencyStep.Call call, Consumer<StoreReply> whenDone) {
    if (down) {
      StoreReply reply =
          context.chance(0.5) ? new StoreReply.NotApplied() : new StoreReply.Indeterminate();
      context.schedule(TIMEOUT_NANOS, () -> whenDone.accept(reply));
      return;
    }
    if (context.chance(0.04)) {
      long applyDelayNanos = context.chance(0.5) ? 0 : context.randomDelayNanos(100, 3_000);
      context.schedule(applyDelayNanos, () -> apply(call));
      context.schedule(TIMEOUT_NANOS, () -> whenDone.accept(new StoreReply.Indeterminate()));
      return;
    }
    StoreReply reply = apply(call);
    long replyDelayNanos =
        context.chance(0.05)
            ? context.randomDelayNanos(100, 1_500)
            : context.randomDelayNanos(1, 30);
    context.schedule(replyDelayNanos, () -> whenDone.accept(reply));
  }

  private StoreReply apply(IdempotencyStep.Call call) {
    Optional<VersionedIdempotencyRecord> current =
        Optional.ofNullable(rows.get(call.key().rowKey()));
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
