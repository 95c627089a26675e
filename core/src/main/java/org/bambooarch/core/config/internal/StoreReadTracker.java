package org.bambooarch.core.config.internal;

import java.util.OptionalLong;
import java.util.TreeSet;

/**
 * The reads of the table that this instance has started.
 *
 * <p>Reads overlap, so that a slow store delays the news by its own latency and not by twice that.
 */
public final class StoreReadTracker {

  private static final int MAX_PENDING_READS = 24;

  private final long timeoutNanos;
  private final TreeSet<Long> pendingSentNanos = new TreeSet<>((a, b) -> Long.signum(a - b));
  private OptionalLong lastAnsweredNanos = OptionalLong.empty();
  private OptionalLong lastFailedNanos = OptionalLong.empty();

  /** Creates the table of reads; a read without an answer counts as failed after the limit. */
  public StoreReadTracker(long timeoutNanos) {
    this.timeoutNanos = timeoutNanos;
  }

  /** Returns whether one more read may be started. */
  public boolean canStart() {
    return pendingSentNanos.size() < MAX_PENDING_READS;
  }

  /** Records a read that leaves now. */
  public void recordStarted(long sentNanos) {
    pendingSentNanos.add(sentNanos);
  }

  /** Records an answer. */
  public void recordAnswered(long sentNanos) {
    pendingSentNanos.remove(sentNanos);
    lastAnsweredNanos = latest(lastAnsweredNanos, sentNanos);
  }

  /** Records a failure. */
  public void recordFailed(long sentNanos) {
    pendingSentNanos.remove(sentNanos);
    lastFailedNanos = latest(lastFailedNanos, sentNanos);
  }

  /** Returns when the last failed read was sent, unless a later one was answered. */
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
