package org.bambooarch.core.request.crash;

/**
 * One run of a request that ended with the death of its target.
 *
 * @param fingerprint what the request asked
 * @param server name of the server that died
 * @param instance name of the entry instance that saw it
 * @param incarnation incarnation of that instance
 * @param sequence number that differs for each death that the instance sees
 * @param expiresAtWallMillis wall moment after which the evidence no longer counts
 */
public record CrashEvidence(
    CrashFingerprint fingerprint,
    String server,
    String instance,
    long incarnation,
    long sequence,
    long expiresAtWallMillis) {

  /** How long evidence counts, in milliseconds: 24 hours. */
  public static final long RETENTION_MILLIS = 24L * 60 * 60 * 1000;

  /** Returns a key that is the same for each copy of this evidence. */
  public String id() {
    return fingerprint.hex() + "/" + instance + "." + incarnation + "." + sequence;
  }
}
