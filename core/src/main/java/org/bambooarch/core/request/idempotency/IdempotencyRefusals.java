package org.bambooarch.core.request.idempotency;

import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.request.OutcomeUnknown;

/** Creates the refusals of requests with an idempotency key. */
public final class IdempotencyRefusals {

  /** Retry delay for the caller while the store does not respond, in milliseconds. */
  static final long STORE_RETRY_AFTER_MILLIS = 2_000;

  private IdempotencyRefusals() {}

  /** Refuses a request whose idempotency key was used before for another request. */
  public static NotRun keyReused() {
    return NotRun.of(
        NotRun.Reason.KEY_REUSED,
        "expected the request that first came with this Idempotency-Key, but method, path"
            + " or body differ");
  }

  /**
   * Refuses a copy of a request while an earlier copy is running.
   *
   * @param retryAfterMillis retry delay for the caller, in milliseconds from now
   */
  public static OutcomeUnknown stillRunning(long retryAfterMillis) {
    return OutcomeUnknown.of(
            OutcomeUnknown.Reason.STILL_RUNNING,
            "an earlier send with this Idempotency-Key is still running; ask again later")
        .withRetryAfterMillis(retryAfterMillis);
  }

  /** Refuses a copy of a request of which an earlier copy may have run without recorded outcome. */
  public static OutcomeUnknown earlierSendUnknown() {
    return OutcomeUnknown.of(
        OutcomeUnknown.Reason.EARLIER_SEND,
        "an earlier send with this Idempotency-Key may have run; its outcome was not recorded");
  }

  /** Refuses a copy of a request that ran, but whose recorded response cannot be read now. */
  public static OutcomeUnknown responseNotReadable() {
    return OutcomeUnknown.of(
            OutcomeUnknown.Reason.EARLIER_SEND,
            "an earlier send with this Idempotency-Key was answered; its answer cannot be read now")
        .withRetryAfterMillis(STORE_RETRY_AFTER_MILLIS);
  }

  /** Refuses a request whose record could not be written before its dispatch deadline. */
  public static NotRun storeUnavailable() {
    return NotRun.of(
            NotRun.Reason.STORE_UNAVAILABLE,
            "the request could not be recorded before its dispatch deadline, so it was not sent")
        .withRetryAfterMillis(STORE_RETRY_AFTER_MILLIS);
  }

  /** Refuses a request whose dispatch deadline passed after its record was written. */
  public static NotRun dispatchDeadlinePassed() {
    return NotRun.of(
        NotRun.Reason.DEADLINE, "the dispatch deadline passed before the request was sent");
  }
}
