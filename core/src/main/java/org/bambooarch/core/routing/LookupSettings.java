package org.bambooarch.core.routing;

/**
 * Constants of look-ups.
 *
 * @param callerBytesPerSecond what one caller moves over a link when it is sent to another region
 * @param answerLifetimeNanos time for which a caller keeps an answer
 * @param maxCrossRegionShare largest part of a link's share that callers sent elsewhere may use
 */
public record LookupSettings(
    long callerBytesPerSecond, long answerLifetimeNanos, double maxCrossRegionShare) {

  /** Returns the settings in use unless an operator states others. */
  public static LookupSettings defaults() {
    return new LookupSettings(20_000, 30_000_000_000L, 0.5);
  }
}
