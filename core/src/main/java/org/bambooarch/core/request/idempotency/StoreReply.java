package org.bambooarch.core.request.idempotency;

import java.util.Optional;

/** What the table service answered to a call of an order attempt. */
public sealed interface StoreReply {

  /**
   * The write took effect.
   *
   * @param version version of the written record
   */
  record Committed(long version) implements StoreReply {}

  /**
   * The write did not take effect because its expectation did not hold.
   *
   * @param current the record as it is, if there is one
   */
  record Conflict(Optional<VersionedIdempotencyRecord> current) implements StoreReply {}

  /**
   * The answer to a read.
   *
   * @param current the record, if there is one
   */
  record ReadResult(Optional<VersionedIdempotencyRecord> current) implements StoreReply {}

  /** The call provably had no effect. */
  record NotApplied() implements StoreReply {}

  /** The call may have taken effect, now or later. */
  record Indeterminate() implements StoreReply {}
}
