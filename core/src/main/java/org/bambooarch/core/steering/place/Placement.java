package org.bambooarch.core.steering.place;

/** Where a request goes. */
public sealed interface Placement {

  /**
   * A server has room for the request.
   *
   * @param server the server
   * @param loadBefore requests that it had before
   */
  record Chosen(ServerState server, int loadBefore) implements Placement {}

  /**
   * No server has room soon enough.
   *
   * @param retryAfterMillis when room is expected, in milliseconds from now
   * @param details what the decision was made from
   */
  record NoRoom(long retryAfterMillis, NoRoomDetails details) implements Placement {}
}
