package org.bambooarch.store.budget;

/** A text that is not the JSON form of a share epoch. */
public final class ShareEpochFormatException extends Exception {

  private static final long serialVersionUID = 1L;

  private ShareEpochFormatException(String message, Throwable cause) {
    super(message, cause);
  }

  static ShareEpochFormatException notAnEpoch(String text, Throwable cause) {
    return new ShareEpochFormatException(
        "expected a share epoch as JSON, got a text of %d characters that cannot be parsed: %s"
            .formatted(text.length(), cause.getMessage()),
        cause);
  }
}
