package org.bambooarch.core.request;

import java.util.OptionalLong;

/**
 * A refusal of a request that may have run on a target, so that a retry may run it again.
 *
 * @param reason why the outcome is not known
 * @param detail one sentence that tells the caller what happened
 * @param retryAfterMillis delay after which the caller may retry with the same idempotency key, in
 *     milliseconds from now; empty if a retry cannot get a response
 */
public record OutcomeUnknown(Reason reason, String detail, OptionalLong retryAfterMillis)
    implements Refusal {

  /** Why the outcome is not known. */
  public enum Reason {
    /** The connection to the target ended before the whole response arrived. */
    TARGET_LOST("target-lost", 502),
    /** The target refused for lack of capacity without stating that it did not run the request. */
    TARGET_BUSY("target-busy", 503),
    /** The response did not arrive before the deadline. */
    DEADLINE("deadline-after-dispatch", 504),
    /** The response belongs to another request or is incomplete. */
    BAD_ANSWER("bad-answer", 502),
    /** An earlier copy of the request, with the same idempotency key, is still running. */
    STILL_RUNNING("still-running", 409),
    /**
     * An earlier copy of the request, with the same idempotency key, may have run, and its response
     * was not recorded or cannot be read now.
     */
    EARLIER_SEND("earlier-send-unknown", 409);

    private final String code;
    private final int httpStatus;

    Reason(String code, int httpStatus) {
      this.code = code;
      this.httpStatus = httpStatus;
    }

    /** Returns the stable identifier, the last segment of the problem type URN. */
    public String code() {
      return code;
    }

    /** Returns the HTTP status of the response to the caller. */
    public int httpStatus() {
      return httpStatus;
    }
  }

  /** Returns a refusal without a retry delay. */
  public static OutcomeUnknown of(Reason reason, String detail) {
    return new OutcomeUnknown(reason, detail, OptionalLong.empty());
  }

  /** Returns the same refusal with a retry delay in milliseconds from now. */
  public OutcomeUnknown withRetryAfterMillis(long millis) {
    return new OutcomeUnknown(reason, detail, OptionalLong.of(millis));
  }

  @Override
  public String code() {
    return reason.code();
  }
}
