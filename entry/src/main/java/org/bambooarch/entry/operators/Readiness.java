package org.bambooarch.entry.operators;

/** States whether an instance accepts new requests. */
public sealed interface Readiness {

  /** The instance accepts new requests. */
  record Ready() implements Readiness {}

  /**
   * The instance accepts no new requests.
   *
   * @param reason one sentence that tells operators why
   */
  record NotReady(String reason) implements Readiness {}
}
