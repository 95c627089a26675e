package org.bambooarch.core.membership;

/**
 * Timeouts and limits of the membership.
 *
 * @param heartbeatIntervalNanos time between two heartbeats
 * @param suspectTimeoutNanos silence after which an instance becomes suspect
 * @param deadTimeoutNanos silence after which a suspect instance counts as dead
 * @param forgetTimeoutNanos silence after which a dead instance is removed, unless the platform's
 *     list still names it
 * @param maxFullMeshInstances largest fleet in which all instances monitor each other
 * @param relaysPerDataCentre instances of each data centre that monitor other data centres, in a
 *     larger fleet
 */
public record MembershipSettings(
    long heartbeatIntervalNanos,
    long suspectTimeoutNanos,
    long deadTimeoutNanos,
    long forgetTimeoutNanos,
    int maxFullMeshInstances,
    int relaysPerDataCentre) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Returns the settings for a fleet across several regions: heartbeats every 0.5 s, suspect after
   * 1.8 s, dead after 4 s, removed after 60 s, full mesh up to 32 instances, 2 relays per data
   * centre.
   */
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
