package org.bambooarch.core.routing;

/**
 * Settings of {@link LookupPolicy}.
 *
 * @param callerBytesPerSecond bytes per second that one caller is assumed to transfer over a link
 *     when it is sent to another region
 * @param answerLifetimeNanos time for which a caller may keep a look-up result, in nanoseconds
 * @param maxCrossRegionShare largest fraction, from 0 to 1, of this instance's share of a link that
 *     callers sent to another region may use
 */
public record LookupSettings(
    long callerBytesPerSecond, long answerLifetimeNanos, double maxCrossRegionShare) {

  /** Returns the default settings. */
  public static LookupSettings defaults() {
    return new LookupSettings(20_000, 30_000_000_000L, 0.5);
  }
}
