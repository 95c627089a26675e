package org.bambooarch.core.steering.place;

/**
 * The figures from which it was decided that no server has capacity for a request.
 *
 * @param region region whose servers were considered
 * @param availableServers servers of the service, in all regions, that may get requests at all
 * @param usableServers the available servers that are not avoided, were not tried before for this
 *     request and are in its home regions
 * @param coldServers the usable servers in the region that are cold and have had their share of
 *     requests for now
 * @param candidates servers in the region that are not cold and that the request's object uses
 * @param shortestWaitMillis shortest expected time in the queue of a candidate, in milliseconds, or
 *     {@link #NONE}
 * @param longestWaitMillis longest time in a queue that was allowed, in milliseconds
 * @param answerMillis time until the first response of a candidate is expected, in milliseconds, or
 *     {@link #NONE}
 * @param remainingMillis time until the request's deadline, in milliseconds
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

  /** Value of a time that is not defined because there is no candidate. */
  public static final long NONE = -1;

  /** Returns the figures as {@code key=value} fields of a log line. */
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
