package org.bambooarch.core.config.internal;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The last moment at which the head was proved to be a version that is in force here.
 *
 * <p>A proof for a version that is not in force yet waits until it is.
 */
public final class HeadEvidence {

  private static final int MAX_WAITING_PROOFS = 64;

  private final TreeMap<Long, Long> momentsByWaitingVersion = new TreeMap<>();
  private boolean known;
  private long momentNanos;

  /**
   * Records a proof that no version above the head was accepted at a moment.
   *
   * @param headVersion the head at that moment
   * @param provenNanos the moment on this instance's monotonic clock
   * @param appliedVersion version in force here
   */
  public void record(long headVersion, long provenNanos, long appliedVersion) {
    if (headVersion <= appliedVersion) {
      advance(provenNanos);
      return;
    }
    momentsByWaitingVersion.merge(headVersion, provenNanos, HeadEvidence::later);
    if (momentsByWaitingVersion.size() > MAX_WAITING_PROOFS) {
      momentsByWaitingVersion.pollFirstEntry();
    }
  }

  /** Takes the proofs that waited for a version that is now in force. */
  public void applied(long appliedVersion) {
    Map<Long, Long> reached = momentsByWaitingVersion.headMap(appliedVersion, true);
    reached.values().forEach(this::advance);
    reached.clear();
  }

  private void advance(long provenNanos) {
    momentNanos = known ? later(momentNanos, provenNanos) : provenNanos;
    known = true;
  }

  /** Returns the later of two monotonic moments. */
  static long later(long first, long second) {
    return second - first > 0 ? second : first;
  }

  /** Returns the proven moment, if there was any. */
  public OptionalLong momentNanos() {
    return known ? OptionalLong.of(momentNanos) : OptionalLong.empty();
  }

  /** Returns the age of the proven moment, or -1 if there was none. */
  public long ageNanos(long nowNanos) {
    return known ? Math.max(0, nowNanos - momentNanos) : -1;
  }
}
