package org.bambooarch.core.config.internal;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The last moment at which the head was proved to be a version that is in force here.
 *
 * <p>A proof for a version that is not in force yet waits until it is.
 */
public final class HeadConfirmationTracker {

  private static final int MAX_PENDING_CONFIRMATIONS = 64;

  private final TreeMap<Long, Long> pendingNanosByVersion = new TreeMap<>();
  private boolean confirmed;
  private long latestNanos;

  /**
   * Records a proof that no version above the head was accepted at a moment.
   *
   * @param headVersion the head at that moment
   * @param confirmedNanos the moment on this instance's monotonic clock
   * @param appliedVersion version in force here
   */
  public void record(long headVersion, long confirmedNanos, long appliedVersion) {
    if (headVersion <= appliedVersion) {
      advance(confirmedNanos);
      return;
    }
    pendingNanosByVersion.merge(headVersion, confirmedNanos, HeadConfirmationTracker::later);
    if (pendingNanosByVersion.size() > MAX_PENDING_CONFIRMATIONS) {
      pendingNanosByVersion.pollFirstEntry();
    }
  }

  /** Takes the proofs that waited for a version that is now in force. */
  public void onVersionApplied(long appliedVersion) {
    Map<Long, Long> nowApplied = pendingNanosByVersion.headMap(appliedVersion, true);
    nowApplied.values().forEach(this::advance);
    nowApplied.clear();
  }

  private void advance(long confirmedNanos) {
    latestNanos = confirmed ? later(latestNanos, confirmedNanos) : confirmedNanos;
    confirmed = true;
  }

  /** Returns the later of two monotonic moments. */
  static long later(long first, long second) {
    return second - first > 0 ? second : first;
  }

  /** Returns the proven moment, if there was any. */
  public OptionalLong confirmedNanos() {
    return confirmed ? OptionalLong.of(latestNanos) : OptionalLong.empty();
  }

  /** Returns the age of the proven moment, or -1 if there was none. */
  public long ageNanos(long nowNanos) {
    return confirmed ? Math.max(0, nowNanos - latestNanos) : -1;
  }
}
