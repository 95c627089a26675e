package org.bambooarch.core.config.internal;

import java.util.OptionalLong;
import java.util.TreeSet;

/**
 * Tracks the reads of the table that this instance has started, and whether they fail.
 *
 * <p>A read is started without waiting for the last one, so that a slow store delays changes by its
 * latency once and not twice. Reads are identified by their monotonic send time.
 */
public final class StoreReadTracker {

  private static final int MAX_PENDING_READS = 24;

  private final long timeoutNanos;
  private final TreeSet<Long> pendingSentNanos = new TreeSet<>((a, b) -> Long.signum(a - b));
  private OptionalLong lastAnsweredNanos = OptionalLong.empty();
  private OptionalLong lastFailedNanos = OptionalLong.empty();

  /** Creates the tracker; a read without a result counts as failed after the timeout. */
  public StoreReadTracker(long timeoutNanos) {
    this.timeoutNanos = timeoutNanos;
  }

  /**
   * Returns whether one more read may be started; at most {@value #MAX_PENDING_READS} at a time.
   */
  public boolean canStart() {
    return pendingSentNanos.size() < MAX_PENDING_READS;
  }

  /** Records a read that is sent now. */
  public void recordStarted(long sentNanos) {
    pendingSentNanos.add(sentNanos);
  }

  /** Records that a read succeeded. */
  public void recordAnswered(long sentNanos) {
    pendingSentNanos.remove(sentNanos);
    lastAnsweredNanos = latest(lastAnsweredNanos, sentNanos);
  }

  /** Records that a read failed. */
  public void recordFailed(long sentNanos) {
    pendingSentNanos.remove(sentNanos);
    lastFailedNanos = latest(lastFailedNanos, sentNanos);
  }

  /**
   * Returns when the latest read that failed or timed out was sent; empty if there is none or if a
   * read sent at that time or later succeeded.
   */
  public OptionalLong latestOutageNanos(long nowNanos) {
    OptionalLong failed = lastFailedNanos;
    for (long sentNanos : pendingSentNanos) {
      if (nowNanos - sentNanos < timeoutNanos) {
        break;
      }
      failed = latest(failed, sentNanos);
    }
    if (failed.isEmpty() || lastAnsweredNanos.isEmpty()) {
      return failed;
    }
    boolean answeredLater = lastAnsweredNanos.getAsLong() - failed.getAsLong() >= 0;
    return answeredLater ? OptionalLong.empty() : failed;
  }

  private static OptionalLong latest(OptionalLong current, long nanos) {
    return OptionalLong.of(
        current.isPresent() ? HeadConfirmationTracker.later(current.getAsLong(), nanos) : nanos);
  }
}
