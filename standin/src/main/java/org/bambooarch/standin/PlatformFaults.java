package org.bambooarch.standin;

/**
 * The faults that the stand-in platform injects; they can be changed while it runs.
 *
 * @param down whether every call is refused with 503
 * @param delayMillis extra delay of each answer, in milliseconds
 * @param loseAnswersOfWrites whether calls that write take effect but their connections fail
 *     instead of answering
 */
public record PlatformFaults(boolean down, long delayMillis, boolean loseAnswersOfWrites) {

  /** Returns the faults of a healthy platform: none. */
  public static PlatformFaults none() {
    return new PlatformFaults(false, 0, false);
  }
}
