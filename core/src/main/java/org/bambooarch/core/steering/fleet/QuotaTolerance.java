package org.bambooarch.core.steering.fleet;

/**
 * How far a customer may exceed its limits over all instances together.
 *
 * @param windowSeconds length of the window in which requests are counted, in seconds
 * @param overshootRatio allowed excess as a fraction of what the limits allow in a window
 * @param slackRequests allowed excess in addition, in requests per window
 */
public record QuotaTolerance(double windowSeconds, double overshootRatio, double slackRequests) {

  /** Returns the burst with the allowed excess: requests at once beyond the sustained rate. */
  double toleratedBurst(double requestsPerSecond, double burstRequests) {
    double limit = requestsPerSecond * windowSeconds + burstRequests;
    return burstRequests + overshootRatio * limit + slackRequests;
  }
}
