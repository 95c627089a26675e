package org.bambooarch.core.request.idempotency;

import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.request.OutcomeUnknown;

/** Creates the refusals that concern recorded requests. */
public final class IdempotencyRefusals {

  /** When a caller may come back while the store does not answer, in milliseconds. */
  static final long STORE_RETRY_AFTER_MILLIS = 2_000;

  private IdempotencyRefusals() {}

  /** The idempotency key came with another request before. */
  public static NotRun keyReused() {
    return NotRun.of(
        NotRun.Reason.KEY_REUSED,
        "expected the request that first came with this Idempotency-Key, but method, path or body"
            + " differ");
  }

  /** An earlier send is still running. */
  public static OutcomeUnknown stillRunning(long retryAfterMillis) {
    return OutcomeUnknown.of(
            OutcomeUnknown.Reason.STILL_RUNNING,
            "an earlier send with this Idempotency-Key is still running; ask again later")
        .withRetryAfterMillis(retryAfterMillis);
  }

  /** An earlier send may have run and left no outcome. */
  public static OutcomeUnknown earlierSendUnknown() {
    return OutcomeUnknown.of(
        OutcomeUnknown.Reason.EARLIER_SEND,
        "an earlier send with this Idempotency-Key may have run; its outcome was not recorded");
  }

  /** The request ran, and its recorded answer cannot be read now. */
  public static OutcomeUnknown responseNotReadable() {
    return OutcomeUnknown.of(
            OutcomeUnknown.Reason.EARLIER_SEND,
            "an earlier send with this Idempotency-Key was answered; its answer cannot be read now")
        .withRetryAfterMillis(STORE_RETRY_AFTER_MILLIS);
  }

  /** The record could not be written in time. */
  public static NotRun storeUnavailable() {
    return NotRun.of(
            NotRun.Reason.STORE_UNAVAILABLE,
            "the request could not be recorded before its dispatch deadline, so it was not sent")
        .withRetryAfterMillis(STORE_RETRY_AFTER_MILLIS);
  }

  /** The dispatch deadline passed after the record was written. */
  public static NotRun dispatchDeadlinePassed() {
    return NotRun.of(
        NotRun.Reason.DEADLINE, "the dispatch deadline passed before the request was sent");
  }
}
