package org.bambooarch.gateway.target;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes a head that was decoded from the beginning of one response and from another response
 * behind it, because the first one broke off within its head and the connection went on.
 *
 * <p>The status line of the second response is then part of the reason phrase or of a header value.
 * The status and some headers are those of the first response, so neither can be trusted.
 */
final class JoinedHead {

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

  private JoinedHead() {}

  /** Returns whether the head contains another status line than its own. */
  static boolean matches(HttpResponse head) {
    if (containsStatusLine(head.status().reasonPhrase())) {
      return true;
    }
    for (Map.Entry<String, String> field : head.headers()) {
      if (containsStatusLine(field.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean containsStatusLine(String text) {
    return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
  }
}
