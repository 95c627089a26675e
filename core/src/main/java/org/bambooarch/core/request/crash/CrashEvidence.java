package org.bambooarch.core.request.crash;

/**
 * Evidence that a request crashes its targets: one run of it that ended with a crash of the server.
 *
 * @param fingerprint fingerprint of the request
 * @param server name of the server that crashed
 * @param instance name of the entry instance that observed the crash
 * @param incarnation number of the process start of that instance
 * @param sequence number that differs for each crash observed by one incarnation
 * @param expiresAtWallMillis wall-clock time in milliseconds from which the evidence no longer
 *     counts
 */
public record CrashEvidence(
    CrashFingerprint fingerprint,
    String server,
    String instance,
    long incarnation,
    long sequence,
    long expiresAtWallMillis) {

  /** How long evidence counts after the crash, in milliseconds: 24 hours. */
  public static final long RETENTION_MILLIS = 24L * 60 * 60 * 1000;

  /**
   * Returns an identifier that is the same for each copy of this evidence and differs for each
   * other crash.
   */
  public String id() {
    return fingerprint.hex() + "/" + instance + "." + incarnation + "." + sequence;
  }
}
