package org.bambooarch.core.steering.fleet;

/**
 * How far a customer may go beyond its limits over all instances.
 *
 * @param windowSeconds length of the window in which requests are counted, in seconds
 * @param overshootRatio allowed excess as a part of what the limits allow in a window
 * @param slackRequests allowed excess on top, in requests per window
 */
public record QuotaTolerance(double windowSeconds, double overshootRatio, double slackRequests) {

  /** Returns what may come at once beyond the rate, in requests. */
  double toleratedBurst(double requestsPerSecond, double burstRequests) {
    double limit = requestsPerSecond * windowSeconds + burstRequests;
    return burstRequests + overshootRatio * limit + slackRequests;
  }
}
