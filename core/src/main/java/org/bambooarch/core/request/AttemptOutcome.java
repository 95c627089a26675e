package org.bambooarch.core.request;

import java.util.OptionalLong;

/** How the sending of a request to one server ended. */
public sealed interface AttemptOutcome {

  /** The whole answer arrived and passed all checks. */
  record Answered() implements AttemptOutcome {}

  /** No byte of the request left this instance. */
  record NotSent() implements AttemptOutcome {}

  /**
   * The target refused the request for lack of room.
   *
   * @param saidNotRun whether the target said that it did not run the request
   * @param retryAfterMillis when the target wants to be asked again, in milliseconds, if it said so
   */
  record Shed(boolean saidNotRun, OptionalLong retryAfterMillis) implements AttemptOutcome {}

  /**
   * The connection ended before the whole answer arrived.
   *
   * @param targetDied whether the server died with it
   * @param bytesToCaller bytes of the answer that the caller already has
   */
  record Lost(boolean targetDied, long bytesToCaller) implements AttemptOutcome {}

  /**
   * The answer belongs to another request, is short or too long.
   *
   * @param bytesToCaller bytes of the answer that the caller already has
   */
  record BadAnswer(long bytesToCaller) implements AttemptOutcome {}

  /**
   * No answer arrived before the deadline of the attempt.
   *
   * @param bytesToCaller bytes of the answer that the caller already has
   */
  record TimedOut(long bytesToCaller) implements AttemptOutcome {}
}
