package org.bambooarch.core.request.order;

import org.bambooarch.core.request.Refusal;

/** What the owner of an order attempt must do next. */
public sealed interface OrderStep {

  /** A call of the table service whose reply goes back to the attempt. */
  sealed interface Call extends OrderStep {

    /** Returns the record's key. */
    OrderKey key();

    /** Returns the monotonic moment before which the call must not be made. */
    long notBeforeNanos();
  }

  /** Creates the record, which must not exist. */
  record Insert(OrderKey key, OrderRecord record, long notBeforeNanos) implements Call {}

  /** Replaces the record if it still has the expected version. */
  record Replace(OrderKey key, long expectedVersion, OrderRecord record, long notBeforeNanos)
      implements Call {}

  /** Reads the record. */
  record Read(OrderKey key, long notBeforeNanos) implements Call {}

  /** The request may be dispatched under the permit. */
  record Proceed(DispatchPermit permit) implements OrderStep {}

  /** The request ran before: its recorded answer is repeated. */
  record Replay(RecordedAnswer answer) implements OrderStep {}

  /** The request is refused. */
  record Refuse(Refusal refusal) implements OrderStep {}

  /** Nothing is left to do. */
  record Closed() implements OrderStep {}
}
