package org.bambooarch.core.config.internal;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Tracks the latest time at which the head, the newest committed version, was confirmed to be one
 * that this instance has applied.
 *
 * <p>A confirmation for a version that is not applied yet is pending until it is. At most {@value
 * #MAX_PENDING_CONFIRMATIONS} are; beyond that the one for the lowest version is dropped.
 */
public final class HeadConfirmationTracker {

  private static final int MAX_PENDING_CONFIRMATIONS = 64;

  private final TreeMap<Long, Long> pendingNanosByVersion = new TreeMap<>();
  private boolean confirmed;
  private long latestNanos;

  /**
   * Records a confirmation that no version above the head was committed at a time.
   *
   * @param headVersion the head at that time
   * @param confirmedNanos the time on this instance's monotonic clock
   * @param appliedVersion version that this instance has applied
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

  /** Applies the confirmations that were pending until this version was applied. */
  public void onVersionApplied(long appliedVersion) {
    Map<Long, Long> nowApplied = pendingNanosByVersion.headMap(appliedVersion, true);
    nowApplied.values().forEach(this::advance);
    nowApplied.clear();
  }

  private void advance(long confirmedNanos) {
    latestNanos = confirmed ? later(latestNanos, confirmedNanos) : confirmedNanos;
    confirmed = true;
  }

  /** Returns the later of two monotonic times; correct across an overflow of the clock. */
  static long later(long first, long second) {
    return second - first > 0 ? second : first;
  }

  /** Returns the latest confirmed time on the monotonic clock; empty if there is none. */
  public OptionalLong confirmedNanos() {
    return confirmed ? OptionalLong.of(latestNanos) : OptionalLong.empty();
  }

  /** Returns the age of the latest confirmation, at least 0, or -1 if there is none. */
  public long ageNanos(long nowNanos) {
    return confirmed ? Math.max(0, nowNanos - latestNanos) : -1;
  }
}
