package org.bambooarch.gateway.spi;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the head of a server's answer says to the system.
 *
 * @param requestId id of the request that it answers; empty if missing
 * @param genuine whether it carries the mark of the server's own answers
 * @param notRun whether the server says that it did not run the request
 * @param misdirected whether another server has the address now
 * @param load the server's load, if told
 * @param keepAliveMillis how long the connection may idle, if told
 */
public record ServerResponseHeaders(
    String requestId,
    boolean genuine,
    boolean notRun,
    boolean misdirected,
    Optional<Load> load,
    OptionalLong keepAliveMillis) {

  /**
   * Load of a server.
   *
   * @param running requests that it runs
   * @param waiting requests in its queue
   */
  public record Load(int running, int waiting) {}
}
