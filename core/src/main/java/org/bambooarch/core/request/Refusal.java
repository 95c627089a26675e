package org.bambooarch.core.request;

/**
 * The reason why a caller gets a problem response instead of the response of a target.
 *
 * <p>{@link NotRun} and {@link OutcomeUnknown} are separate types, so that a request that may have
 * run cannot be reported as not run by mistake.
 */
public sealed interface Refusal permits NotRun, OutcomeUnknown {

  /** Returns a short stable identifier, the last segment of the problem type URN. */
  String code();

  /** Returns one sentence that tells the caller what happened. */
  String detail();
}
