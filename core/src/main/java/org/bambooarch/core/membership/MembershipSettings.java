package org.bambooarch.core.membership;

/**
 * Timing and sizes of the membership.
 *
 * @param intervalNanos time between two heartbeats
 * @param suspectNanos silence after which an instance is suspected
 * @param deadNanos silence after which a suspected instance counts as dead
 * @param forgetNanos time after which a dead instance that is not listed is forgotten
 * @param fullMeshInstances most instances that all watch each other
 * @param relaysPerDataCentre instances of a larger fleet that watch other data centres
 */
public record MembershipSettings(
    long intervalNanos,
    long suspectNanos,
    long deadNanos,
    long forgetNanos,
    int fullMeshInstances,
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
