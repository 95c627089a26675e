package org.bambooarch.standin;

/**
 * How the stand-in platform misbehaves, changed while it runs.
 *
 * @param down whether every call is refused with 503
 * @param delayMillis extra time before each answer
 * @param loseAnswersOfWrites whether writes take effect but their answers are lost
 */
public record PlatformFaults(boolean down, long delayMillis, boolean loseAnswersOfWrites) {

  /** Returns faults that leave the platform healthy. */
  public static PlatformFaults none() {
    return new PlatformFaults(false, 0, false);
  }
}
