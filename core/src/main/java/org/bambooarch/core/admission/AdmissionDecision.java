package org.bambooarch.core.admission;

import org.bambooarch.core.request.NotRun;

/** The outcome of {@link AdmissionQueue#offer}. */
public sealed interface AdmissionDecision {

  /**
   * The request waits until a target can take it. {@link AdmissionQueue#dispatch} dispatches it, or
   * {@link AdmissionQueue#removeExpired} returns it when it has waited too long.
   */
  record Queued() implements AdmissionDecision {}

  /**
   * The request is refused at once, because it cannot be started in time or the queue is full.
   *
   * @param refusal refusal for the caller, with the time after which it may try again
   */
  record Refused(NotRun refusal) implements AdmissionDecision {}
}
