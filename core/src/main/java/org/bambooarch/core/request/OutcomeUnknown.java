package org.bambooarch.core.request;

import java.util.OptionalLong;

/**
 * A refusal of a request that may have run on a target.
 *
 * @param reason why the outcome is not known
 * @param detail one sentence for the caller
 * @param retryAfterMillis when the caller may ask again with the same key, in milliseconds from
 *     now, if asking again can bring an answer
 */
public record OutcomeUnknown(Reason reason, String detail, OptionalLong retryAfterMillis)
    implements Refusal {

  /** Why the outcome is not known. */
  public enum Reason {
    /** The connection to the target ended before the whole answer arrived. */
    TARGET_LOST("target-lost", 502),
    /** The target refused the request for lack of room and did not say that it did not run. */
    TARGET_BUSY("target-busy", 503),
    /** The answer did not arrive before the deadline. */
    DEADLINE("deadline-after-dispatch", 504),
    /** The answer belongs to another request or is not whole. */
    BAD_ANSWER("bad-answer", 502),
    /** An earlier send of the same request is still running. */
    STILL_RUNNING("still-running", 409),
    /** An earlier send of the same request ended without a recorded outcome. */
    EARLIER_SEND("earlier-send-unknown", 409);

    private final String code;
    private final int httpStatus;

    Reason(String code, int httpStatus) {
      this.code = code;
      this.httpStatus = httpStatus;
    }

    /** Returns the stable identifier. */
    public String code() {
      return code;
    }

    /** Returns the HTTP status that callers see. */
    public int httpStatus() {
      return httpStatus;
    }
  }

  /** Returns a refusal with an unknown outcome. */
  public static OutcomeUnknown of(Reason reason, String detail) {
    return new OutcomeUnknown(reason, detail, OptionalLong.empty());
  }

  /** Returns the same refusal with a time to ask again, in milliseconds from now. */
  public OutcomeUnknown withRetryAfterMillis(long millis) {
    return new OutcomeUnknown(reason, detail, OptionalLong.of(millis));
  }

  @Override
  public String code() {
    return reason.code();
  }
}
