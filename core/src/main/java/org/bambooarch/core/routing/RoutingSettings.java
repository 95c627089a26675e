package org.bambooarch.core.routing;

/**
 * Settings of {@link TargetChooser}. Shares are fractions from 0 to 1.
 *
 * @param serversCompared number of randomly drawn servers that are compared for each request; 2 is
 *     "power of two choices"
 * @param limitGrowthSlotsPerSecond additive growth of a server's concurrency limit while the limit
 *     is reached
 * @param limitBackoff share of a server's limit that is removed when the server sheds all requests;
 *     proportionally less when it sheds some of them
 * @param maxEjectedShare largest share of a service's servers that may be ejected at the same time
 * @param consecutiveFailuresToEject number of consecutive failures after which a server is ejected
 * @param ejectionNanos duration of the first ejection of a server; it doubles with each further
 *     ejection, up to 8 times this value
 * @param slowStartNanos time in which the limit of a server rises to its full value after an
 *     ejection or a drain
 * @param spilloverAfterNanos time for which the local region must lack capacity before other
 *     regions are used; raised to twice the round trip to the nearest of them if that is longer
 * @param spilloverEndsAfterNanos time for which the local region must have spare capacity before
 *     other regions are no longer used
 * @param maxBrowseShare share of a pool's limit up to which interactive reading may fill the pool
 * @param maxBulkShare share of a pool's limit up to which bulk requests may fill the pool
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

  /** Returns the default settings. */
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

  /** Returns a copy of these settings with the given largest share of ejected servers. */
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
