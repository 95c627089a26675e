package org.bambooarch.core.steering.place;

/**
 * Why no server had room for a request.
 *
 * @param region region whose servers were asked
 * @param openServers servers of the service that may get requests at all
 * @param usableServers those of them that are not avoided, tried before or outside the homes
 * @param candidates those of them that serve the request's object in the region
 * @param shortestWaitMillis shortest wait at a candidate, in milliseconds; -1 if there is none
 * @param longestWaitMillis longest wait that was allowed, in milliseconds
 */
public record Shortage(
    String region,
    int openServers,
    int usableServers,
    int candidates,
    long shortestWaitMillis,
    long longestWaitMillis) {

  /** Returns the inputs as fields of a log line. */
  public String describe() {
    return ("region=%s open=%d usable=%d candidates=%d shortest-wait-millis=%d"
            + " longest-wait-millis=%d")
        .formatted(
            region, openServers, usableServers, candidates, shortestWaitMillis, longestWaitMillis);
  }
}
