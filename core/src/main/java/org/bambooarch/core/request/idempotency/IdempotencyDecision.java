package org.bambooarch.core.request.idempotency;

import org.bambooarch.core.request.Refusal;

/** What a copy of a request may do, given the record that it found under its key. */
public sealed interface IdempotencyDecision {

  /**
   * The record was written by this copy itself, in a commit whose response was lost.
   *
   * @param version version of the record
   */
  record OwnRecord(long version) implements IdempotencyDecision {}

  /**
   * The recorded copy never ran, or the record has expired: the record may be replaced.
   *
   * @param version version of the record
   */
  record Replaceable(long version) implements IdempotencyDecision {}

  /**
   * An earlier copy of the request got a response.
   *
   * @param response the recorded response, to be returned again
   */
  record Replay(RecordedResponse response) implements IdempotencyDecision {}

  /**
   * This copy is refused.
   *
   * @param refusal the reason for the caller
   */
  record Refused(Refusal refusal) implements IdempotencyDecision {}
}
