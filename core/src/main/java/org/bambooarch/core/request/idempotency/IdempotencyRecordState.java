package org.bambooarch.core.request.idempotency;

/** What is known of the execution of a recorded request. */
public sealed interface IdempotencyRecordState {

  /**
   * The owner may have sent the request to a target, or may still send it.
   *
   * @param answerDeadlineWallMillis wall-clock time in milliseconds from which the owner no longer
   *     waits for the response
   */
  record Pending(long answerDeadlineWallMillis) implements IdempotencyRecordState {}

  /** The owner gave up before any byte was sent; another copy may replace the record. */
  record Released() implements IdempotencyRecordState {}

  /** The owner sent the request and will never learn whether it ran. */
  record Unknown() implements IdempotencyRecordState {}

  /**
   * The target responded.
   *
   * @param response the response that each further copy of the request gets
   */
  record Done(RecordedResponse response) implements IdempotencyRecordState {}
}
