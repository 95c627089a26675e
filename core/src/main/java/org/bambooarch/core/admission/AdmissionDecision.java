package org.bambooarch.core.admission;

import org.bambooarch.core.request.NotRun;

/** The answer of a queue to a request. */
public sealed interface AdmissionDecision {

  /** The request waits for room; it is dispatched or given back by the queue. */
  record Queued() implements AdmissionDecision {}

  /**
   * The request cannot be served in time and is refused at once.
   *
   * @param refusal the refusal, with the time to come back
   */
  record Refused(NotRun refusal) implements AdmissionDecision {}
}
