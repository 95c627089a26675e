package org.bambooarch.gateway.request;

import java.util.Optional;
import org.bambooarch.gateway.target.ConnectionUse;

/** How one attempt went, for the log. Used on the event loop only. */
final class AttemptTrace {

  private final String server;
  private Optional<ConnectionUse> use = Optional.empty();
  private String ending = "";
  private int status;

  AttemptTrace(String server) {
    this.server = server;
  }

  /** Records over which connection the request is sent. */
  void onConnection(ConnectionUse newUse) {
    use = Optional.of(newUse);
  }

  /** Records the HTTP status of the response. */
  void onResponseHead(int newStatus) {
    status = newStatus;
  }

  /** Records how the attempt ended, unless that is known already. */
  void onEnded(String newEnding) {
    if (ending.isEmpty()) {
      ending = newEnding;
    }
  }

  /** Returns whether the request was written to a connection. */
  boolean wasSent() {
    return use.isPresent();
  }

  /** Returns how many responses have been skipped on the connection so far. */
  long skippedResponses() {
    return use.map(sentOver -> sentOver.connection().skippedResponses()).orElse(0L);
  }

  /**
   * Returns server, ending, status and connection, for example {@code i-a:failed:500:c12/3}; the
   * status is 0 without a response, the connection {@code -} if nothing was sent.
   */
  String describe() {
    return "%s:%s:%d:%s"
        .formatted(server, ending, status, use.map(ConnectionUse::describe).orElse("-"));
  }
}
