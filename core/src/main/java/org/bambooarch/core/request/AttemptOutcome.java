package org.bambooarch.core.request;

import java.util.OptionalLong;

/** How one attempt to get a response from one server ended. */
public sealed interface AttemptOutcome {

  /** The whole response arrived and passed all checks. */
  record ResponseReceived() implements AttemptOutcome {}

  /** No byte of the request left this instance, so the server cannot have run it. */
  record NotSent() implements AttemptOutcome {}

  /**
   * The target refused the request for lack of capacity (HTTP status 429 or 503).
   *
   * @param declaredNotRun whether the response states that the target did not run the request
   * @param retryAfterMillis delay that the target asks for before a retry, in milliseconds from
   *     now; empty if it named none
   */
  record Shed(boolean declaredNotRun, OptionalLong retryAfterMillis) implements AttemptOutcome {}

  /**
   * The connection ended before the whole response arrived.
   *
   * @param targetCrashed whether the server process ended too
   * @param bytesForwarded bytes of the response that were already forwarded to the caller
   */
  record ConnectionLost(boolean targetCrashed, long bytesForwarded) implements AttemptOutcome {}

  /**
   * The response is malformed, belongs to another request, or is shorter or longer than declared.
   *
   * @param bytesForwarded bytes of the response that were already forwarded to the caller
   */
  record InvalidResponse(long bytesForwarded) implements AttemptOutcome {}

  /**
   * The response did not arrive before the deadline of the attempt.
   *
   * @param bytesForwarded bytes of the response that were already forwarded to the caller
   */
  record TimedOut(long bytesForwarded) implements AttemptOutcome {}
}
