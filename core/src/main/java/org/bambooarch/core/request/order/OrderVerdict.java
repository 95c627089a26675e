package org.bambooarch.core.request.order;

import org.bambooarch.core.request.Refusal;

/** What a send of a request may do, given the record that it found. */
public sealed interface OrderVerdict {

  /**
   * The record is this send's own, written by a commit whose answer was lost.
   *
   * @param version version of the record
   */
  record Own(long version) implements OrderVerdict {}

  /**
   * The recorded send never ran, or the record expired: it may be replaced.
   *
   * @param version version of the record
   */
  record Free(long version) implements OrderVerdict {}

  /**
   * The request ran before.
   *
   * @param answer the answer to repeat
   */
  record Replay(RecordedAnswer answer) implements OrderVerdict {}

  /**
   * The send is refused.
   *
   * @param refusal why
   */
  record Refused(Refusal refusal) implements OrderVerdict {}
}
