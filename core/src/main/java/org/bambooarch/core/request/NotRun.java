package org.bambooarch.core.request;

import java.util.OptionalLong;

/**
 * A refusal of a request that is known to have run on no target.
 *
 * @param reason why the request was refused
 * @param detail one sentence that tells the caller what happened
 * @param retryAfterMillis delay after which the caller may retry, in milliseconds from now; empty
 *     if unknown
 */
public record NotRun(Reason reason, String detail, OptionalLong retryAfterMillis)
    implements Refusal {

  /** Why a request was refused before it ran. */
  public enum Reason {
    /** The request itself is malformed. */
    BAD_REQUEST("bad-request", 400),
    /** The request has no API key, or one that is invalid, ambiguous or withdrawn. */
    KEY_REJECTED("key-rejected", 401),
    /** No route matches the request. */
    NO_ROUTE("no-route", 404),
    /** The headers or the body exceed their size limit. */
    TOO_LARGE("too-large", 413),
    /** The idempotency key was used before with another method, path, query or body. */
    KEY_REUSED("idempotency-key-reused", 422),
    /** The customer has used up its request rate and its burst. */
    OVER_RATE("over-rate", 429),
    /** This instance holds no confirmed share of the customer's rate limit. */
    BUDGET_UNCONFIRMED("budget-unconfirmed", 503),
    /**
     * No capacity is left: no region has room within its caps, the target refused the request, or
     * it waited too long in the admission queue.
     */
    NO_ROOM("no-room", 503),
    /** No healthy server with free capacity serves the route. */
    NO_TARGET("no-target", 503),
    /** The request cannot be dispatched before its deadline. */
    DEADLINE("deadline", 504),
    /**
     * The idempotency record, which must exist before dispatch, cannot be written because the store
     * does not answer.
     */
    STORE_UNAVAILABLE("store-unavailable", 503),
    /** The request is blocked because earlier runs of it crashed targets. */
    CRASHES_TARGETS("crashes-targets", 503),
    /** The configuration is too old to tell whether the API key was withdrawn. */
    KEYS_STALE("keys-stale", 503),
    /** The configuration, which does not permit the request, may not be the newest. */
    CONFIGURATION_STALE("configuration-stale", 503),
    /** This instance is shutting down. */
    STOPPING("stopping", 503);

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
  public static NotRun of(Reason reason, String detail) {
    return new NotRun(reason, detail, OptionalLong.empty());
  }

  /** Returns the same refusal with a retry delay in milliseconds from now. */
  public NotRun withRetryAfterMillis(long millis) {
    return new NotRun(reason, detail, OptionalLong.of(millis));
  }

  @Override
  public String code() {
    return reason.code();
  }
}
