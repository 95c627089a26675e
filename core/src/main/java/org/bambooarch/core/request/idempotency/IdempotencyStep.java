package org.bambooarch.core.request.idempotency;

import org.bambooarch.core.request.Refusal;

/** What the owner of an order attempt must do next. */
public sealed interface IdempotencyStep {

  /** A call of the table service whose reply goes back to the attempt. */
  sealed interface Call extends IdempotencyStep {

    /** Returns the record's key. */
    IdempotencyRecordKey key();

    /** Returns the monotonic moment before which the call must not be made. */
    long notBeforeNanos();
  }

  /** Creates the record, which must not exist. */
  record Insert(IdempotencyRecordKey key, IdempotencyRecord record, long notBeforeNanos)
      implements Call {}

  /** Replaces the record if it still has the expected version. */
  record Replace(
      IdempotencyRecordKey key, long expectedVersion, IdempotencyRecord record, long notBeforeNanos)
      implements Call {}

  /** Reads the record. */
  record Read(IdempotencyRecordKey key, long notBeforeNanos) implements Call {}

  /** The request may be dispatched under the permit. */
  record Proceed(DispatchPermit permit) implements IdempotencyStep {}

  /** The request ran before: its recorded answer is repeated. */
  record Replay(RecordedResponse response) implements IdempotencyStep {}

  /** The request is refused. */
  record Refuse(Refusal refusal) implements IdempotencyStep {}

  /** Nothing is left to do. */
  record Completed() implements IdempotencyStep {}
}
