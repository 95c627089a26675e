package org.bambooarch.core.steering.place;

/** Where a request goes. */
public sealed interface Placement {

  /**
   * A server has room for the request.
   *
   * @param server the server
   * @param load requests that it had before
   */
  record Chosen(ServerCell server, int load) implements Placement {}

  /**
   * No server has room soon enough.
   *
   * @param retryAfterMillis when room is expected, in milliseconds from now
   * @param shortage what the decision was made from
   */
  record NoRoom(long retryAfterMillis, Shortage shortage) implements Placement {}
}
