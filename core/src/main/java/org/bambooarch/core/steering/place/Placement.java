package org.bambooarch.core.steering.place;

/** The result of choosing a server for a request. */
public sealed interface Placement {

  /**
   * A server has capacity for the request.
   *
   * @param server the chosen server
   * @param loadBefore requests from all instances that it had before, as far as known
   */
  record Chosen(ServerState server, int loadBefore) implements Placement {}

  /**
   * No server is expected to have capacity soon enough.
   *
   * @param retryAfterMillis time until capacity is expected, in milliseconds
   * @param details the figures from which this was decided
   */
  record NoRoom(long retryAfterMillis, NoRoomDetails details) implements Placement {}
}
