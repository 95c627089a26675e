package org.bambooarch.core.steering.place;

/**
 * Why no server had room for a request.
 *
 * @param region region whose servers were asked
 * @param availableServers servers of the service that may get requests at all
 * @param usableServers those of them that are not avoided, tried before or outside the homes
 * @param coldServers those of them in the region that are cold and have had their share of requests
 * @param candidates warm servers in the region that serve the request's object
 * @param shortestWaitMillis shortest wait at a candidate, in milliseconds, or {@link #NONE}
 * @param longestWaitMillis longest wait that was allowed, in milliseconds
 * @param answerMillis time until the first answer of a candidate is expected, in milliseconds, or
 *     {@link #NONE}
 * @param remainingMillis time that the request has left, in milliseconds
 */
public record NoRoomDetails(
    String region,
    int availableServers,
    int usableServers,
    int coldServers,
    int candidates,
    long shortestWaitMillis,
    long longestWaitMillis,
    long answerMillis,
    long remainingMillis) {

  /** Stands for a time if there is no candidate. */
  public static final long NONE = -1;

  /** Returns the inputs as fields of a log line. */
  public String describe() {
    return ("region=%s open=%d usable=%d cold=%d candidates=%d shortest-wait-millis=%d"
            + " longest-wait-millis=%d answer-millis=%d remaining-millis=%d")
        .formatted(
            region,
            availableServers,
            usableServers,
            coldServers,
            candidates,
            shortestWaitMillis,
            longestWaitMillis,
            answerMillis,
            remainingMillis);
  }
}
