package org.bambooarch.core.request;

import java.util.OptionalLong;

/** How the sending of a request to one server ended. */
public sealed interface AttemptOutcome {

  /** The whole answer arrived and passed all checks. */
  record ResponseReceived() implements AttemptOutcome {}

  /** No byte of the request left this instance. */
  record NotSent() implements AttemptOutcome {}

  /**
   * The target refused the request for lack of room.
   *
   * @param declaredNotRun whether the target said that it did not run the request
   * @param retryAfterMillis when the target wants to be asked again, in milliseconds, if it said so
   */
  record Shed(boolean declaredNotRun, OptionalLong retryAfterMillis) implements AttemptOutcome {}

  /**
   * The connection ended before the whole answer arrived.
   *
   * @param targetCrashed whether the server died with it
   * @param bytesForwarded bytes of the answer that the caller already has
   */
  record ConnectionLost(boolean targetCrashed, long bytesForwarded) implements AttemptOutcome {}

  /**
   * The answer belongs to another request, is short or too long.
   *
   * @param bytesForwarded bytes of the answer that the caller already has
   */
  record InvalidResponse(long bytesForwarded) implements AttemptOutcome {}

  /**
   * No answer arrived before the deadline of the attempt.
   *
   * @param bytesForwarded bytes of the answer that the caller already has
   */
  record TimedOut(long bytesForwarded) implements AttemptOutcome {}
}
