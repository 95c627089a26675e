package org.bambooarch.peer.internal;

/** A received frame whose length or authentication code is invalid; it ends the connection. */
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
