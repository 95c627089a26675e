package org.bambooarch.gateway.observability;

/** Text from outside as a value in a log line. */
public final class LogWord {

  private static final int MAX_LENGTH = 64;

  private LogWord() {}

  /** Returns any text as one bounded word; {@code -} if it is empty. */
  public static String of(String text) {
    if (text.isEmpty()) {
      return "-";
    }
    return text.substring(0, Math.min(text.length(), MAX_LENGTH)).replaceAll("[^!#-~]", "?");
  }
}
