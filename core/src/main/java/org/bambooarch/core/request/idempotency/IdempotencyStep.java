package org.bambooarch.core.request.idempotency;

import org.bambooarch.core.request.Refusal;

/** What the driver of an {@link IdempotencyStateMachine} must do next. */
public sealed interface IdempotencyStep {

  /** Call the table service and pass its reply to {@link IdempotencyStateMachine#onReply}. */
  sealed interface Call extends IdempotencyStep {

    /** Returns the key of the record to read or write. */
    IdempotencyRecordKey key();

    /** Returns the monotonic time in nanoseconds before which the call must not be made. */
    long notBeforeNanos();
  }

  /** Create the record; the write fails if one exists under the key. */
  record Insert(IdempotencyRecordKey key, IdempotencyRecord record, long notBeforeNanos)
      implements Call {}

  /** Replace the record; the write fails if it does not have the expected version. */
  record Replace(
      IdempotencyRecordKey key, long expectedVersion, IdempotencyRecord record, long notBeforeNanos)
      implements Call {}

  /** Read the record, to learn whether an indeterminate write took effect. */
  record Read(IdempotencyRecordKey key, long notBeforeNanos) implements Call {}

  /** Dispatch the request if the permit can still be used. */
  record Proceed(DispatchPermit permit) implements IdempotencyStep {}

  /** Return the recorded response of an earlier copy of the request. */
  record Replay(RecordedResponse response) implements IdempotencyStep {}

  /** Refuse the request. */
  record Refuse(Refusal refusal) implements IdempotencyStep {}

  /** Do nothing more: the final record is written, or another record has taken its place. */
  record Completed() implements IdempotencyStep {}
}
