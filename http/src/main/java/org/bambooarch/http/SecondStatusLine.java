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

  private SecondStatusLine() {}

  /**
   * Returns whether the head certainly contains one: in its reason phrase, or right behind a word
   * in a value. In other places of a value a server may state one itself.
   */
  public static boolean isCertainIn(HttpResponse head) {
    if (isIn(head.status().reasonPhrase())) {
      return true;
    }
    for (Map.Entry<String, String> field : head.headers()) {
      if (mayContain(field.getValue()) && IN_WORD.matcher(field.getValue()).find()) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a text contains a status line. */
  public static boolean isIn(String text) {
    return mayContain(text) && STATUS_LINE.matcher(text).find();
  }

  private static boolean mayContain(String text) {
    return text.contains("HTTP/");
  }
}
