package org.bambooarch.core.request.order;

import java.util.Optional;
import org.bambooarch.core.time.Clock;

/**
 * One send of a non-idempotent request: decides when it may be dispatched and what is recorded.
 *
 * <p>The attempt does no I/O. Its owner carries out each step and hands the reply back.
 *
 * <pre>{@code
 * OrderStep step = attempt.start();
 * while (step instanceof OrderStep.Call call) {
 *   step = attempt.on(store.carryOut(call));
 * }
 * }</pre>
 *
 * <p>Not thread-safe: one thread drives an attempt at a time.
 */
public final class OrderAttempt {

  private static final long FIRST_BACKOFF_NANOS = 50_000_000L;
  private static final long MAX_BACKOFF_NANOS = 400_000_000L;
  private static final long CLOSING_BACKOFF_NANOS = 500_000_000L;

  private enum Phase {
    OPENING,
    HELD,
    CLOSING,
    CLOSED
  }

  private final OrderKey key;
  private final OrderRecord intent;
  private final OrderTimes times;
  private final Clock clock;
  private final DispatchPermit permit;

  private Phase phase = Phase.OPENING;
  private long backoffNanos = FIRST_BACKOFF_NANOS;
  private Optional<Long> heldVersion = Optional.empty();
  private Optional<OrderRecord> closingRecord = Optional.empty();

  private OrderAttempt(OrderKey key, OrderRecord intent, OrderTimes times, Clock clock) {
    this.key = key;
    this.intent = intent;
    this.times = times;
    this.clock = clock;
    this.permit =
        new DispatchPermit(times.dispatchDeadlineNanos(), times.dispatchDeadlineWallMillis());
  }

  /** Returns an attempt that has not yet called the store. */
  public static OrderAttempt of(
      OrderKey key, RequestDigest digest, OrderOwner owner, OrderTimes times, Clock clock) {
    OrderState pending = new OrderState.Pending(times.answerDeadlineWallMillis());
    OrderRecord intent = new OrderRecord(digest, owner, pending, times.expiresAtWallMillis());
    return new OrderAttempt(key, intent, times, clock);
  }

  /** Returns the first step. */
  public OrderStep start() {
    return insertIntent(clock.monotonicNanos());
  }

  /** Returns the step after a reply of the store. */
  public OrderStep on(StoreReply reply) {
    return switch (phase) {
      case OPENING -> whileOpening(reply);
      case CLOSING -> whileClosing(reply);
      case HELD, CLOSED -> new OrderStep.Closed();
    };
  }

  /**
   * Records that no byte of the request left and that none ever will.
   *
   * <p>Also correct when it is not known whether the intent took effect: inserting the released
   * record makes an intent that is still under way fail.
   */
  public OrderStep release() {
    if (phase == Phase.CLOSED) {
      return new OrderStep.Closed();
    }
    return close(new OrderState.Released());
  }

  /** Records what became of a dispatched request. */
  public OrderStep finish(OrderState outcome) {
    return close(outcome);
  }

  private OrderStep whileOpening(StoreReply reply) {
    return switch (reply) {
      case StoreReply.Committed(long version) -> hold(version);
      case StoreReply.Conflict(Optional<StoredOrder> current) -> judge(current);
      case StoreReply.Found(Optional<StoredOrder> current) -> judge(current);
      case StoreReply.NotApplied() -> tryAgain(insertIntent(backoffNanos()));
      case StoreReply.Lost() -> tryAgain(new OrderStep.Read(key, backoffNanos()));
    };
  }

  private OrderStep judge(Optional<StoredOrder> current) {
    if (current.isEmpty()) {
      return tryAgain(insertIntent(clock.monotonicNanos()));
    }
    StoredOrder found = current.get();
    return switch (OrderRules.judge(found, intent.digest(), intent.owner(), clock.wallMillis())) {
      case OrderVerdict.Own(long version) -> hold(version);
      case OrderVerdict.Free(long version) ->
          tryAgain(new OrderStep.Replace(key, version, intent, clock.monotonicNanos()));
      case OrderVerdict.Replay(RecordedAnswer answer) -> {
        phase = Phase.CLOSED;
        yield new OrderStep.Replay(answer);
      }
      case OrderVerdict.Refused(var refusal) -> {
        phase = Phase.CLOSED;
        yield new OrderStep.Refuse(refusal);
      }
    };
  }

  private OrderStep hold(long version) {
    phase = Phase.HELD;
    heldVersion = Optional.of(version);
    if (permit.hasPassed(clock)) {
      return new OrderStep.Refuse(OrderRefusals.dispatchDeadline());
    }
    return new OrderStep.Proceed(permit);
  }

  private OrderStep tryAgain(OrderStep.Call call) {
    if (call.notBeforeNanos() - times.dispatchDeadlineNanos() >= 0 || permit.hasPassed(clock)) {
      return new OrderStep.Refuse(OrderRefusals.storeUnavailable());
    }
    return call;
  }

  private OrderStep.Insert insertIntent(long notBeforeNanos) {
    return new OrderStep.Insert(key, intent, notBeforeNanos);
  }

  private OrderStep close(OrderState outcome) {
    phase = Phase.CLOSING;
    closingRecord = Optional.of(intent.withState(outcome));
    return writeClosing(clock.monotonicNanos());
  }

  private OrderStep writeClosing(long notBeforeNanos) {
    OrderRecord record = closingRecord.orElseThrow();
    if (heldVersion.isPresent()) {
      return new OrderStep.Replace(key, heldVersion.get(), record, notBeforeNanos);
    }
    return new OrderStep.Insert(key, record, notBeforeNanos);
  }

  private OrderStep whileClosing(StoreReply reply) {
    long laterNanos = clock.monotonicNanos() + CLOSING_BACKOFF_NANOS;
    if (clock.wallMillis() >= intent.expiresAtWallMillis()) {
      return closed();
    }
    return switch (reply) {
      case StoreReply.Committed(long version) -> closed();
      case StoreReply.Conflict(Optional<StoredOrder> current) -> closeOver(current);
      case StoreReply.Found(Optional<StoredOrder> current) -> closeOver(current);
      case StoreReply.NotApplied() -> writeClosing(laterNanos);
      case StoreReply.Lost() -> new OrderStep.Read(key, laterNanos);
    };
  }

  private OrderStep closeOver(Optional<StoredOrder> current) {
    if (current.isEmpty()) {
      heldVersion = Optional.empty();
      return writeClosing(clock.monotonicNanos());
    }
    StoredOrder found = current.get();
    boolean own = found.record().owner().equals(intent.owner());
    if (!own || !(found.record().state() instanceof OrderState.Pending)) {
      return closed();
    }
    heldVersion = Optional.of(found.version());
    return writeClosing(clock.monotonicNanos());
  }

  private OrderStep closed() {
    phase = Phase.CLOSED;
    return new OrderStep.Closed();
  }

  /** Doubles from call to call, so that waiting orders do not keep a store down that recovers. */
  private long backoffNanos() {
    long untilNanos = clock.monotonicNanos() + backoffNanos;
    backoffNanos = Math.min(2 * backoffNanos, MAX_BACKOFF_NANOS);
    return untilNanos;
  }
}
