package org.bambooarch.core.membership;

/**
 * Timing and sizes of the membership.
 *
 * @param heartbeatIntervalNanos time between two heartbeats
 * @param suspectTimeoutNanos silence after which an instance is suspected
 * @param deadTimeoutNanos silence after which a suspected instance counts as dead
 * @param forgetTimeoutNanos time after which a dead instance that is not listed is forgotten
 * @param maxFullMeshInstances most instances that all watch each other
 * @param relaysPerDataCentre instances of a larger fleet that watch other data centres
 */
public record MembershipSettings(
    long heartbeatIntervalNanos,
    long suspectTimeoutNanos,
    long deadTimeoutNanos,
    long forgetTimeoutNanos,
    int maxFullMeshInstances,
    int relaysPerDataCentre) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the settings for instances in several regions. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        500 * NANOS_PER_MILLI,
        1_800 * NANOS_PER_MILLI,
        4_000 * NANOS_PER_MILLI,
        60_000 * NANOS_PER_MILLI,
        32,
        2);
  }
}
