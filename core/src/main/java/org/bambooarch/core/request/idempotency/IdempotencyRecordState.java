package org.bambooarch.core.request.idempotency;

/** What is known of a recorded request. */
public sealed interface IdempotencyRecordState {

  /**
   * The owner may have sent the request to a target.
   *
   * @param answerDeadlineWallMillis after this moment the owner no longer waits for the answer
   */
  record Pending(long answerDeadlineWallMillis) implements IdempotencyRecordState {}

  /** The owner gave up before any byte left; another send may take the record over. */
  record Released() implements IdempotencyRecordState {}

  /** The owner sent the request and will never learn what became of it. */
  record Unknown() implements IdempotencyRecordState {}

  /**
   * The target answered.
   *
   * @param response the answer that each resend gets
   */
  record Done(RecordedResponse response) implements IdempotencyRecordState {}
}
