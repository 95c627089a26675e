package org.bambooarch.core.routing;

/**
 * Constants of the choice of servers.
 *
 * @param serversCompared servers compared for each request; 2 is power of two choices
 * @param limitGrowthSlotsPerSecond additive growth of a server's limit while it is fully used
 * @param limitBackoff part of a server's limit that is lost when it sheds all requests
 * @param maxEjectedShare largest part of a service's servers that may be ejected at once
 * @param consecutiveFailuresToEject failures in a row that eject a server
 * @param ejectionNanos first ejection time; doubles with each further ejection
 * @param slowStartNanos time in which a returning server's limit rises to its full value
 * @param spilloverAfterNanos time without local room before other regions are used
 * @param spilloverEndsAfterNanos time with local room before other regions are left
 * @param maxBrowseShare part of the room that browsing may fill
 * @param maxBulkShare part of the room that bulk may fill
 */
public record RoutingSettings(
    int serversCompared,
    double limitGrowthSlotsPerSecond,
    double limitBackoff,
    double maxEjectedShare,
    int consecutiveFailuresToEject,
    long ejectionNanos,
    long slowStartNanos,
    long spilloverAfterNanos,
    long spilloverEndsAfterNanos,
    double maxBrowseShare,
    double maxBulkShare) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the settings in use unless an operator states others. */
  public static RoutingSettings defaults() {
    return new RoutingSettings(
        2,
        4.0,
        0.5,
        0.67,
        4,
        5_000 * NANOS_PER_MILLI,
        10_000 * NANOS_PER_MILLI,
        100 * NANOS_PER_MILLI,
        1_000 * NANOS_PER_MILLI,
        0.95,
        0.8);
  }

  /** Returns the same settings with another bound on ejected servers. */
  public RoutingSettings withMaxEjectedShare(double share) {
    return new RoutingSettings(
        serversCompared,
        limitGrowthSlotsPerSecond,
        limitBackoff,
        share,
        consecutiveFailuresToEject,
        ejectionNanos,
        slowStartNanos,
        spilloverAfterNanos,
        spilloverEndsAfterNanos,
        maxBrowseShare,
        maxBulkShare);
  }
}
