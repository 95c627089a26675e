package org.bambooarch.core.request.idempotency;

import java.util.Optional;

/** The result of an {@link IdempotencyStep.Call} to the table service. */
public sealed interface StoreReply {

  /**
   * The write took effect.
   *
   * @param version version of the written record
   */
  record Committed(long version) implements StoreReply {}

  /**
   * The write did not take effect because its condition did not hold: the record existed already,
   * or had another version than expected.
   *
   * @param current the stored record; empty if there is none
   */
  record Conflict(Optional<VersionedIdempotencyRecord> current) implements StoreReply {}

  /**
   * The result of a read.
   *
   * @param current the stored record; empty if there is none
   */
  record ReadResult(Optional<VersionedIdempotencyRecord> current) implements StoreReply {}

  /** The call is known to have had no effect, and never will. */
  record NotApplied() implements StoreReply {}

  /** The reply was lost: the call may have taken effect, or may still do so. */
  record Indeterminate() implements StoreReply {}
}
