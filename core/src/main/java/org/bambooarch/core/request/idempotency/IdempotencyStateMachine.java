package org.bambooarch.core.request.idempotency;

import java.util.Optional;
import org.bambooarch.core.time.Clock;

/**
 * Makes sure that a non-idempotent request with an idempotency key runs at most once: decides when
 * one copy of the request may be dispatched and what is recorded about it.
 *
 * <p>A pending {@link IdempotencyRecord}, the intent, is written before the dispatch; only the copy
 * whose intent is stored may dispatch the request. Afterwards the final state replaces the intent.
 *
 * <p>The state machine does no I/O. Its driver carries out each step and passes the reply back.
 *
 * <pre>{@code
 * IdempotencyStep step = stateMachine.start();
 * while (step instanceof IdempotencyStep.Call call) {
 *   step = stateMachine.onReply(store.carryOut(call));
 * }
 * }</pre>
 *
 * <p>Not thread-safe: one thread drives a state machine at a time.
 */
public final class IdempotencyStateMachine {

  private static final long FIRST_BACKOFF_NANOS = 50_000_000L;
  private static final long MAX_BACKOFF_NANOS = 400_000_000L;
  private static final long FINALIZING_BACKOFF_NANOS = 500_000_000L;

  private enum Phase {
    ACQUIRING,
    ACQUIRED,
    FINALIZING,
    COMPLETED
  }

  private final IdempotencyRecordKey key;
  private final IdempotencyRecord intent;
  private final IdempotencyDeadlines deadlines;
  private final Clock clock;
  private final DispatchPermit permit;

  private Phase phase = Phase.ACQUIRING;
  private long backoffNanos = FIRST_BACKOFF_NANOS;
  private Optional<Long> storedIntentVersion = Optional.empty();
  private Optional<IdempotencyRecord> finalRecord = Optional.empty();

  private IdempotencyStateMachine(
      IdempotencyRecordKey key,
      IdempotencyRecord intent,
      IdempotencyDeadlines deadlines,
      Clock clock) {
    this.key = key;
    this.intent = intent;
    this.deadlines = deadlines;
    this.clock = clock;
    this.permit =
        new DispatchPermit(
            deadlines.dispatchDeadlineNanos(), deadlines.dispatchDeadlineWallMillis());
  }

  /** Returns the state machine of a copy of a request for which the store was not called yet. */
  public static IdempotencyStateMachine of(
      IdempotencyRecordKey key,
      RequestDigest digest,
      IdempotencyRecordOwner owner,
      IdempotencyDeadlines deadlines,
      Clock clock) {
    IdempotencyRecordState pending =
        new IdempotencyRecordState.Pending(deadlines.answerDeadlineWallMillis());
    IdempotencyRecord intent =
        new IdempotencyRecord(digest, owner, pending, deadlines.expiresAtWallMillis());
    return new IdempotencyStateMachine(key, intent, deadlines, clock);
  }

  /** Returns the first step, the insertion of the intent; called once. */
  public IdempotencyStep start() {
    return insertIntent(clock.monotonicNanos());
  }

  /**
   * Returns the step after the store's reply to the last {@link IdempotencyStep.Call}.
   *
   * <p>Returns {@link IdempotencyStep.Completed} if no call is outstanding.
   */
  public IdempotencyStep onReply(StoreReply reply) {
    return switch (phase) {
      case ACQUIRING -> replyWhileAcquiring(reply);
      case FINALIZING -> replyWhileFinalizing(reply);
      case ACQUIRED, COMPLETED -> new IdempotencyStep.Completed();
    };
  }

  /**
   * Returns the first step to record that no byte of the request was sent and that none ever will.
   *
   * <p>Also correct if it is not known whether the intent was written: an intent that is still on
   * its way to the store fails once the released record is inserted.
   */
  public IdempotencyStep release() {
    if (phase == Phase.COMPLETED) {
      return new IdempotencyStep.Completed();
    }
    return finalizeAs(new IdempotencyRecordState.Released());
  }

  /** Returns the first step to record the outcome of a dispatched request. */
  public IdempotencyStep finish(IdempotencyRecordState outcome) {
    return finalizeAs(outcome);
  }

  private IdempotencyStep replyWhileAcquiring(StoreReply reply) {
    return switch (reply) {
      case StoreReply.Committed(long version) -> acquire(version);
      case StoreReply.Conflict(Optional<VersionedIdempotencyRecord> current) -> evaluate(current);
      case StoreReply.ReadResult(Optional<VersionedIdempotencyRecord> current) -> evaluate(current);
      case StoreReply.NotApplied() -> retryOrRefuse(insertIntent(backoffNanos()));
      case StoreReply.Indeterminate() ->
          retryOrRefuse(new IdempotencyStep.Read(key, backoffNanos()));
    };
  }

  private IdempotencyStep evaluate(Optional<VersionedIdempotencyRecord> current) {
    if (current.isEmpty()) {
      return retryOrRefuse(insertIntent(clock.monotonicNanos()));
    }
    VersionedIdempotencyRecord found = current.get();
    return switch (IdempotencyRules.evaluate(
        found, intent.digest(), intent.owner(), clock.wallMillis())) {
      case IdempotencyDecision.OwnRecord(long version) -> acquire(version);
      case IdempotencyDecision.Replaceable(long version) ->
          retryOrRefuse(new IdempotencyStep.Replace(key, version, intent, clock.monotonicNanos()));
      case IdempotencyDecision.Replay(RecordedResponse response) -> {
        phase = Phase.COMPLETED;
        yield new IdempotencyStep.Replay(response);
      }
      case IdempotencyDecision.Refused(var refusal) -> {
        phase = Phase.COMPLETED;
        yield new IdempotencyStep.Refuse(refusal);
      }
    };
  }

  private IdempotencyStep acquire(long version) {
    phase = Phase.ACQUIRED;
    storedIntentVersion = Optional.of(version);
    if (permit.isExpired(clock)) {
      return new IdempotencyStep.Refuse(IdempotencyRefusals.dispatchDeadlinePassed());
    }
    return new IdempotencyStep.Proceed(permit);
  }

  private IdempotencyStep retryOrRefuse(IdempotencyStep.Call call) {
    if (call.notBeforeNanos() - deadlines.dispatchDeadlineNanos() >= 0 || permit.isExpired(clock)) {
      return new IdempotencyStep.Refuse(IdempotencyRefusals.storeUnavailable());
    }
    return call;
  }

  private IdempotencyStep.Insert insertIntent(long notBeforeNanos) {
    return new IdempotencyStep.Insert(key, intent, notBeforeNanos);
  }

  private IdempotencyStep finalizeAs(IdempotencyRecordState outcome) {
    phase = Phase.FINALIZING;
    finalRecord = Optional.of(intent.withState(outcome));
    return writeFinalRecord(clock.monotonicNanos());
  }

  private IdempotencyStep writeFinalRecord(long notBeforeNanos) {
    IdempotencyRecord record = finalRecord.orElseThrow();
    if (storedIntentVersion.isPresent()) {
      return new IdempotencyStep.Replace(key, storedIntentVersion.get(), record, notBeforeNanos);
    }
    return new IdempotencyStep.Insert(key, record, notBeforeNanos);
  }

  private IdempotencyStep replyWhileFinalizing(StoreReply reply) {
    long retryNanos = clock.monotonicNanos() + FINALIZING_BACKOFF_NANOS;
    if (clock.wallMillis() >= intent.expiresAtWallMillis()) {
      return completed();
    }
    return switch (reply) {
      case StoreReply.Committed(long version) -> completed();
      case StoreReply.Conflict(Optional<VersionedIdempotencyRecord> current) ->
          finalizeOver(current);
      case StoreReply.ReadResult(Optional<VersionedIdempotencyRecord> current) ->
          finalizeOver(current);
      case StoreReply.NotApplied() -> writeFinalRecord(retryNanos);
      case StoreReply.Indeterminate() -> new IdempotencyStep.Read(key, retryNanos);
    };
  }

  private IdempotencyStep finalizeOver(Optional<VersionedIdempotencyRecord> current) {
    if (current.isEmpty()) {
      storedIntentVersion = Optional.empty();
      return writeFinalRecord(clock.monotonicNanos());
    }
    VersionedIdempotencyRecord found = current.get();
    boolean isOwn = found.record().owner().equals(intent.owner());
    if (!isOwn || !(found.record().state() instanceof IdempotencyRecordState.Pending)) {
      return completed();
    }
    storedIntentVersion = Optional.of(found.version());
    return writeFinalRecord(clock.monotonicNanos());
  }

  private IdempotencyStep completed() {
    phase = Phase.COMPLETED;
    return new IdempotencyStep.Completed();
  }

  /**
   * Returns the monotonic time of the next call in nanoseconds, and doubles the delay up to {@link
   * #MAX_BACKOFF_NANOS}, so that waiting requests do not overload a store that is recovering.
   */
  private long backoffNanos() {
    long untilNanos = clock.monotonicNanos() + backoffNanos;
    backoffNanos = Math.min(2 * backoffNanos, MAX_BACKOFF_NANOS);
    return untilNanos;
  }
}
