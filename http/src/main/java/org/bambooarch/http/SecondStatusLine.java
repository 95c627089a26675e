package org.bambooarch.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Finds the status line of another response within a head. It is there if a response broke off
 * within its head and another one follows on the connection: the decoder then reads one head, with
 * the status of the first response and the body of the second.
 */
public final class SecondStatusLine {

  /** Not followed by a dot or a digit, as the address in a {@code Via} header would be. */
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d(?: |$)");

  private static final Pattern IN_WORD = Pattern.compile("[\\w.-]" + STATUS_LINE);

  /** How likely a head contains the status line of another response. */
  public enum Evidence {
    /** It contains none. */
    NONE,
    /** A value contains one, which the server may have stated itself. */
    POSSIBLE,
    /** It is in the reason phrase, or right behind a word in a value. */
    CERTAIN
  }

  private SecondStatusLine() {}

  /** Returns how likely the head contains one. */
  public static Evidence evidenceIn(HttpResponse head) {
    if (isIn(head.status().reasonPhrase())) {
      return Evidence.CERTAIN;
    }
    Evidence evidence = Evidence.NONE;
    for (Map.Entry<String, String> field : head.headers()) {
      if (!isIn(field.getValue())) {
        continue;
      }
      if (IN_WORD.matcher(field.getValue()).find()) {
        return Evidence.CERTAIN;
      }
      evidence = Evidence.POSSIBLE;
    }
    return evidence;
  }

  /** Returns whether a text contains a status line. */
  public static boolean isIn(String text) {
    return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
  }
}
