package org.bambooarch.gateway.target;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.bambooarch.http.SecondStatusLine;

/**
 * Recognizes a head that was decoded from the beginning of one response and from another response
 * behind it, because the first one broke off within its head and the connection went on.
 *
 * <p>The status line of the second response is then part of the reason phrase or of a header value,
 * and its headers follow. The status and some headers are those of the first response, and the body
 * is that of the second, so none of them can be trusted.
 */
final class JoinedHead {

  private JoinedHead() {}

  /**
   * Returns whether the head contains the status line of another response. Where a server may state
   * such a line itself, it counts only if the head names a request behind it.
   *
   * @param requestId id of the request in progress
   */
  static boolean matches(HttpResponse head, String requestId) {
    return switch (SecondStatusLine.evidenceIn(head)) {
      case NONE -> false;
      case POSSIBLE -> namesRequestBehindStatusLine(head, requestId);
      case CERTAIN -> true;
    };
  }

  /**
   * Returns whether a field behind the first status line names a request: the one in progress, or
   * any other in a field of the same name as one that names the request in front of the line.
   */
  private static boolean namesRequestBehindStatusLine(HttpResponse head, String requestId) {
    Set<String> idFields = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
    boolean behind = false;
    for (Map.Entry<String, String> field : head.headers()) {
      boolean namesRequest = field.getValue().equals(requestId);
      if (behind && (namesRequest || idFields.contains(field.getKey()))) {
        return true;
      }
      if (namesRequest) {
        idFields.add(field.getKey());
      }
      behind |= SecondStatusLine.isIn(field.getValue());
    }
    return false;
  }
}
