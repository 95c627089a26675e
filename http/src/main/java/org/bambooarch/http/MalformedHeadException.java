package org.bambooarch.http;

/** Thrown for the head or the trailers of a response that are not valid in HTTP. */
public final class MalformedHeadException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  private static final int MAX_FOUND_LENGTH = 16;

  private MalformedHeadException(String message) {
    super(message);
  }

  static MalformedHeadException status(String found) {
    return new MalformedHeadException(
        "expected a status from 100 to 599 in the status line but found " + printable(found));
  }

  /** Returns the exception for a name of a field that ends before the given byte. */
  static MalformedHeadException fieldName(byte found) {
    return new MalformedHeadException(
        "expected a token and a colon at the beginning of a field but found byte 0x%02x"
            .formatted(found));
  }

  /** Returns the exception for a head that contains the status line of another response. */
  static MalformedHeadException secondStatusLine() {
    return new MalformedHeadException(
        "expected one head but found the status line of another response within it");
  }

  /** Returns the beginning of a text from outside, as one word that log lines may quote. */
  private static String printable(String text) {
    return text.substring(0, Math.min(text.length(), MAX_FOUND_LENGTH)).replaceAll("[^!#-~]", "?");
  }
}
