package org.bambooarch.gateway.target;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes a head that was decoded from the beginning of one response and from another response
 * behind it, because the first one broke off within its head and the connection went on.
 *
 * <p>The status line of the second response is then part of the reason phrase or of a header value,
 * and its headers follow. The status and some headers are those of the first response, so neither
 * can be trusted.
 */
final class JoinedHead {

  /** Not followed by a dot or a digit, as the address in a {@code Via} header would be. */
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d(?: |$)");

  private JoinedHead() {}

  /**
   * Returns whether the head contains the status line of another response. In a header value it
   * counts only if the request's id follows, since a server may state such a line itself.
   *
   * @param requestId id of the request in progress
   */
  static boolean matches(HttpResponse head, String requestId) {
    if (containsStatusLine(head.status().reasonPhrase())) {
      return true;
    }
    boolean found = false;
    for (Map.Entry<String, String> field : head.headers()) {
      if (found && field.getValue().equals(requestId)) {
        return true;
      }
      found |= containsStatusLine(field.getValue());
    }
    return false;
  }

  private static boolean containsStatusLine(String text) {
    return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
  }
}
