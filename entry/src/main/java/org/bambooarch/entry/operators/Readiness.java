package org.bambooarch.entry.operators;

/** Whether an instance can take new requests. */
public sealed interface Readiness {

  /** The instance takes new requests. */
  record Ready() implements Readiness {}

  /**
   * The instance takes no new requests.
   *
   * @param reason one sentence that says why
   */
  record NotReady(String reason) implements Readiness {}
}
