package org.bambooarch.core.request;

import java.util.OptionalLong;

/**
 * A refusal of a request that provably ran on no target.
 *
 * @param reason why the request was refused
 * @param detail one sentence for the caller
 * @param retryAfterMillis when the caller may try again, in milliseconds from now, if known
 */
public record NotRun(Reason reason, String detail, OptionalLong retryAfterMillis)
    implements Refusal {

  /** Why a request was refused before it ran. */
  public enum Reason {
    /** The request itself is malformed. */
    BAD_REQUEST("bad-request", 400),
    /** No key, or a key that is not valid or was withdrawn. */
    KEY_REJECTED("key-rejected", 401),
    /** No route matches the request. */
    NO_ROUTE("no-route", 404),
    /** A header or body exceeds its limit. */
    TOO_LARGE("too-large", 413),
    /** The idempotency key was used before with a different body. */
    KEY_REUSED("idempotency-key-reused", 422),
    /** The customer has used up its rate and burst. */
    OVER_RATE("over-rate", 429),
    /** The instance holds no confirmed share of the customer's budget. */
    BUDGET_UNCONFIRMED("budget-unconfirmed", 503),
    /** No region has room within the caps. */
    NO_ROOM("no-room", 503),
    /** No healthy target serves the route. */
    NO_TARGET("no-target", 503),
    /** The deadline cannot be met. */
    DEADLINE("deadline", 504),
    /** The at-most-once record cannot be written because the store does not answer. */
    STORE_UNAVAILABLE("store-unavailable", 503),
    /** The request is stopped because earlier runs of it crashed targets. */
    CRASHES_TARGETS("crashes-targets", 503),
    /** The instance cannot be sure that the key was not withdrawn. */
    KEYS_STALE("keys-stale", 503),
    /** The instance is stopping. */
    STOPPING("stopping", 503);

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

  /** Returns a refusal without a time to come back. */
  public static NotRun of(Reason reason, String detail) {
    return new NotRun(reason, detail, OptionalLong.empty());
  }

  /** Returns the same refusal with a time to come back, in milliseconds from now. */
  public NotRun withRetryAfterMillis(long millis) {
    return new NotRun(reason, detail, OptionalLong.of(millis));
  }

  @Override
  public String code() {
    return reason.code();
  }
}
