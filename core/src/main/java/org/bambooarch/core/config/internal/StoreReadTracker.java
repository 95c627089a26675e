package org.bambooarch.core.config.internal;

import java.util.OptionalLong;
import java.util.TreeSet;

/**
 * The reads of the table that this instance has started.
 *
 * <p>Reads overlap, so that a slow store delays the news by its own latency and not by twice that.
 */
public final class StoreReads {

  private static final int MAX_OPEN_READS = 24;

  private final long stallNanos;
  private final TreeSet<Long> openSentNanos = new TreeSet<>((a, b) -> Long.signum(a - b));
  private OptionalLong lastAnsweredNanos = OptionalLong.empty();
  private OptionalLong lastFailedNanos = OptionalLong.empty();

  /** Creates the table of reads; a read without an answer counts as failed after the limit. */
  public StoreReads(long stallNanos) {
    this.stallNanos = stallNanos;
  }

  /** Returns whether one more read may be started. */
  public boolean mayStart() {
    return openSentNanos.size() < MAX_OPEN_READS;
  }

  /** Records a read that leaves now. */
  public void started(long sentNanos) {
    openSentNanos.add(sentNanos);
  }

  /** Records an answer. */
  public void answered(long sentNanos) {
    openSentNanos.remove(sentNanos);
    lastAnsweredNanos = latest(lastAnsweredNanos, sentNanos);
  }

  /** Records a failure. */
  public void failed(long sentNanos) {
    openSentNanos.remove(sentNanos);
    lastFailedNanos = latest(lastFailedNanos, sentNanos);
  }

  /** Returns when the last failed read was sent, unless a later one was answered. */
  public OptionalLong outageNanos(long nowNanos) {
    OptionalLong failed = lastFailedNanos;
    for (long sentNanos : openSentNanos) {
      if (nowNanos - sentNanos < stallNanos) {
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

  private static OptionalLong latest(OptionalLong known, long nanos) {
    return OptionalLong.of(
        known.isPresent() ? HeadEvidence.later(known.getAsLong(), nanos) : nanos);
  }
}
