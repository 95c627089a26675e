package org.bambooarch.core.request.order;

/** What is known of a recorded request. */
public sealed interface OrderState {

  /**
   * The owner may have sent the request to a target.
   *
   * @param answerDeadlineWallMillis after this moment the owner no longer waits for the answer
   */
  record Pending(long answerDeadlineWallMillis) implements OrderState {}

  /** The owner gave up before any byte left; another send may take the record over. */
  record Released() implements OrderState {}

  /** The owner sent the request and will never learn what became of it. */
  record Unknown() implements OrderState {}

  /**
   * The target answered.
   *
   * @param answer the answer that each resend gets
   */
  record Done(RecordedAnswer answer) implements OrderState {}
}
