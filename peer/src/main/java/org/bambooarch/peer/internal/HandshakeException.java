package org.bambooarch.peer.internal;

/**
 * A handshake that failed: the peer did not prove the shared secret, is not the expected instance,
 * has no protocol version in common or sent a malformed hello.
 */
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
        "expected one of the shared secrets of this instance, got an unknown one from " + instance);
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
