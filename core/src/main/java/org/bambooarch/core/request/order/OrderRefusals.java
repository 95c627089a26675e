package org.bambooarch.core.request.order;

import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.request.OutcomeUnknown;

/** Creates the refusals that concern recorded requests. */
public final class OrderRefusals {

  /** When a caller may come back while the store does not answer, in milliseconds. */
  static final long STORE_RETRY_AFTER_MILLIS = 2_000;

  private OrderRefusals() {}

  /** The idempotency key came with another request before. */
  public static NotRun keyReused() {
    return NotRun.notRun(
        NotRun.Reason.KEY_REUSED,
        "expected the request that first came with this Idempotency-Key, but method, path or body"
            + " differ");
  }

  /** An earlier send is still running. */
  public static OutcomeUnknown stillRunning(long retryAfterMillis) {
    return OutcomeUnknown.outcomeUnknown(
            OutcomeUnknown.Reason.STILL_RUNNING,
            "an earlier send with this Idempotency-Key is still running; ask again later")
        .retryAfterMillis(retryAfterMillis);
  }

  /** An earlier send may have run and left no outcome. */
  public static OutcomeUnknown earlierSendUnknown() {
    return OutcomeUnknown.outcomeUnknown(
        OutcomeUnknown.Reason.EARLIER_SEND,
        "an earlier send with this Idempotency-Key may have run; its outcome was not recorded");
  }

  /** The request ran, and its recorded answer cannot be read now. */
  public static OutcomeUnknown answerNotReadable() {
    return OutcomeUnknown.outcomeUnknown(
            OutcomeUnknown.Reason.EARLIER_SEND,
            "an earlier send with this Idempotency-Key was answered; its answer cannot be read now")
        .retryAfterMillis(STORE_RETRY_AFTER_MILLIS);
  }

  /** The record could not be written in time. */
  public static NotRun storeUnavailable() {
    return NotRun.notRun(
            NotRun.Reason.STORE_UNAVAILABLE,
            "the request could not be recorded before its dispatch deadline, so it was not sent")
        .retryAfterMillis(STORE_RETRY_AFTER_MILLIS);
  }

  /** The dispatch deadline passed after the record was written. */
  public static NotRun dispatchDeadline() {
    return NotRun.notRun(
        NotRun.Reason.DEADLINE, "the dispatch deadline passed before the request was sent");
  }
}
