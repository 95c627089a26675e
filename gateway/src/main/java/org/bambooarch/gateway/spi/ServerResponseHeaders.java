package org.bambooarch.gateway.spi;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Control information from the head of a server's response.
 *
 * @param requestId id of the request that the response belongs to; empty if missing
 * @param genuine whether the response carries the header by which servers mark their own responses;
 *     one without it may come from something else at the server's address
 * @param notRun whether the server states that it did not run the request
 * @param misdirected whether the request reached another server than the expected one, because the
 *     address belongs to that server now
 * @param leaving whether the server is about to stop and takes no further requests
 * @param load the server's load, if stated
 * @param keepAliveMillis how long the connection may be idle before the server closes it, in
 *     milliseconds, if stated
 * @param limitPerSecond requests per second that the server takes from all instances together, if
 *     stated
 * @param restMillis for how long the server wants no requests from this instance, in milliseconds,
 *     if it turned the request away and stated so
 */
public record ServerResponseHeaders(
    String requestId,
    boolean genuine,
    boolean notRun,
    boolean misdirected,
    boolean leaving,
    Optional<Load> load,
    OptionalLong keepAliveMillis,
    OptionalDouble limitPerSecond,
    OptionalLong restMillis) {

  /**
   * Load of a server when it responded.
   *
   * @param running number of requests that the server is running
   * @param waiting number of requests in the server's queue
   */
  public record Load(int running, int waiting) {}
}
