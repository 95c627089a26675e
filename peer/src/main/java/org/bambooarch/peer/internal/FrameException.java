package org.bambooarch.peer.internal;

/** A frame that is not what the peer sent at this place of the session. */
public final class FrameException extends Exception {

  private static final long serialVersionUID = 1L;

  private FrameException(String message) {
    super(message);
  }

  static FrameException tooShort(int actualBytes, int minBytes) {
    return new FrameException(
        "expected a frame of at least " + minBytes + " bytes, got " + actualBytes);
  }

  static FrameException wrongMac(long sequence) {
    return new FrameException(
        "expected the authentication code of frame " + sequence + ", got a different value");
  }

  static FrameException tooLong(int actualBytes, int maxBytes) {
    return new FrameException(
        "expected a frame of at most " + maxBytes + " bytes, got " + actualBytes);
  }
}
