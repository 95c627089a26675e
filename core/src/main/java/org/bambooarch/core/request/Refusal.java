package org.bambooarch.core.request;

/**
 * The reason why a caller gets no answer from a target.
 *
 * <p>The two kinds are separate types, so that an unknown outcome cannot be reported as not run.
 */
public sealed interface Refusal permits NotRun, OutcomeUnknown {

  /** Returns a short stable identifier, the last segment of the problem type. */
  String code();

  /** Returns one sentence that tells the caller what happened. */
  String detail();
}
