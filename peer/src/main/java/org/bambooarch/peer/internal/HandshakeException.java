package org.bambooarch.peer.internal;

/** A peer that could not prove who it is, or that speaks no common version. */
public final class HandshakeException extends Exception {

  private static final long serialVersionUID = 1L;

  private HandshakeException(String message) {
    super(message);
  }

  static HandshakeException wrongProof(String instance) {
    return new HandshakeException(
        "expected a proof of the shared secret from " + instance + ", got a different value");
  }

  static HandshakeException unknownSecret(String instance) {
    return new HandshakeException(
        "expected one of the shared secrets of this instance, got another one from " + instance);
  }

  static HandshakeException noCommonVersion(int ownMin, int ownMax, int min, int max) {
    return new HandshakeException(
        "expected a protocol version in [%d, %d], got [%d, %d]"
            .formatted(ownMin, ownMax, min, max));
  }

  static HandshakeException wrongInstance(String expected, String actual) {
    return new HandshakeException(
        "expected instance " + expected + " at this address, got " + actual);
  }

  static HandshakeException malformed(String what) {
    return new HandshakeException("expected a handshake message, got " + what);
  }
}
