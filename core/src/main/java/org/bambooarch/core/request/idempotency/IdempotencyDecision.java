package org.bambooarch.core.request.idempotency;

import org.bambooarch.core.request.Refusal;

/** What a send of a request may do, given the record that it found. */
public sealed interface IdempotencyDecision {

  /**
   * The record is this send's own, written by a commit whose answer was lost.
   *
   * @param version version of the record
   */
  record OwnRecord(long version) implements IdempotencyDecision {}

  /**
   * The recorded send never ran, or the record expired: it may be replaced.
   *
   * @param version version of the record
   */
  record Replaceable(long version) implements IdempotencyDecision {}

  /**
   * The request ran before.
   *
   * @param response the answer to repeat
   */
  record Replay(RecordedResponse response) implements IdempotencyDecision {}

  /**
   * The send is refused.
   *
   * @param refusal why
   */
  record Refused(Refusal refusal) implements IdempotencyDecision {}
}
