package org.bambooarch.entry.operators;

/** States whether an instance accepts new requests. */
public sealed interface Readiness {

  /** The instance accepts new requests. */
  record Ready() implements Readiness {}

  /**
   * The instance accepts no new requests.
   *
   * @param reason why, as text for operators
   */
  record NotReady(String reason) implements Readiness {}
}
