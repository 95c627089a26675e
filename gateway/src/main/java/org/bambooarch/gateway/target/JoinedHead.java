package org.bambooarch.gateway.target;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Recognizes a head that was decoded from the beginning of one response and from another response
 * behind it, because the first one broke off within its head and the connection went on.
 *
 * <p>The status line of the second response is then part of the reason phrase or of a header value,
 * and its headers follow. The status and some headers are those of the first response, and the body
 * is that of the second, so none of them can be trusted.
 */
final class JoinedHead {

  /** Not followed by a dot or a digit, as the address in a {@code Via} header would be. */
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d(?: |$)");

  /** A status line right behind a word, which broke off there. */
  private static final Pattern STATUS_LINE_IN_WORD = Pattern.compile("[\\w.-]" + STATUS_LINE);

  private JoinedHead() {}

  /**
   * Returns whether the head contains the status line of another response. In a header value it
   * counts only if it is within a word, or if the head names a request behind it, since a server
   * may state such a line itself.
   *
   * @param requestId id of the request in progress
   */
  static boolean matches(HttpResponse head, String requestId) {
    if (containsStatusLine(head.status().reasonPhrase())) {
      return true;
    }
    for (Map.Entry<String, String> field : head.headers()) {
      if (containsStatusLine(field.getValue())) {
        return isWithinWord(head.headers()) || namesRequestBehind(head.headers(), requestId);
      }
    }
    return false;
  }

  private static boolean isWithinWord(HttpHeaders headers) {
    for (Map.Entry<String, String> field : headers) {
      if (STATUS_LINE_IN_WORD.matcher(field.getValue()).find()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether a field behind the first status line names a request: the one in progress, or
   * any other in a field of the same name as one that names the request in front of the line.
   */
  private static boolean namesRequestBehind(HttpHeaders headers, String requestId) {
    Set<String> idFields = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
    boolean behind = false;
    for (Map.Entry<String, String> field : headers) {
      boolean namesRequest = field.getValue().equals(requestId);
      if (behind && (namesRequest || idFields.contains(field.getKey()))) {
        return true;
      }
      if (namesRequest) {
        idFields.add(field.getKey());
      }
      behind |= containsStatusLine(field.getValue());
    }
    return false;
  }

  private static boolean containsStatusLine(String text) {
    return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
  }
}
