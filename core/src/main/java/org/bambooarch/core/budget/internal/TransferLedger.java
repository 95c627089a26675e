package org.bambooarch.core.budget.internal;

import java.util.ArrayDeque;
import org.bambooarch.core.budget.BudgetSettings;
import org.bambooarch.core.budget.BudgetSettings.Protection;
import org.bambooarch.core.budget.ShareAmount;
import org.bambooarch.core.budget.ShareBalance;
import org.bambooarch.core.budget.ShareEntry;

/**
 * Running totals of what this instance and one peer ever moved to each other of one resource.
 *
 * <p>Totals only grow. A receiver adds the difference to the highest total it has seen, so that
 * messages which are lost, repeated or overtaken neither lose nor duplicate any units.
 */
final class TransferLedger {

  /** A smaller change of the held rate is not reported by itself. */
  private static final long RATE_THRESHOLD_UNITS = ShareAmount.WHOLE / 200;

  /** A smaller change of the held full or empty units is not reported by itself. */
  private static final long CAPACITY_THRESHOLD_UNITS = ShareAmount.WHOLE / 50;

  /** The total after a transfer, and the time of the tick whose report is the first to carry it. */
  private record Sent(long stampNanos, ShareAmount total) {}

  private final ArrayDeque<Sent> unacknowledged = new ArrayDeque<>();
  private ShareAmount sentTotal = ShareAmount.NONE;
  private ShareAmount acknowledgedTotal = ShareAmount.NONE;
  private ShareAmount receivedTotal = ShareAmount.NONE;
  private ShareEntry latestEntry;
  private long latestEntryStampNanos;
  private ShareEntry reportedState;
  private long stateChangedNanos;

  /** Takes over the peer's state and returns the units that its totals have grown by. */
  ShareAmount receive(ShareEntry entry, long stampNanos, BudgetSettings settings) {
    ShareAmount increase = entry.sentTotal().minus(receivedTotal);
    ShareAmount arrived = increase.positivePart();
    boolean keepsHighest = settings.enforces(Protection.RUNNING_TOTALS);
    receivedTotal = keepsHighest ? receivedTotal.plus(arrived) : entry.sentTotal();
    if (latestEntry == null || stampNanos - latestEntryStampNanos >= 0) {
      latestEntry = entry;
      latestEntryStampNanos = stampNanos;
    }
    return arrived;
  }

  /** Adds a transfer to the peer, which the next report carries. */
  void send(ShareAmount amount, long nowNanos) {
    sentTotal = sentTotal.plus(amount);
    unacknowledged.addLast(new Sent(nowNanos, sentTotal));
  }

  /** Marks all that was sent up to the given stamp of this instance as received by the peer. */
  void acknowledge(long stampNanos) {
    while (!unacknowledged.isEmpty() && unacknowledged.peekFirst().stampNanos() - stampNanos <= 0) {
      acknowledgedTotal = unacknowledged.removeFirst().total();
    }
  }

  /** Returns the amount that the peer will hold when everything sent to it has arrived. */
  ShareAmount expectedHeld() {
    ShareAmount inTransit = sentTotal.minus(acknowledgedTotal);
    return latestEntry == null ? inTransit : latestEntry.held().plus(inTransit);
  }

  double demandQuantaPerSecond() {
    return latestEntry == null ? 0 : latestEntry.demandMilliQuantaPerSecond() / 1_000.0;
  }

  long wantedUnits() {
    return latestEntry == null ? 0 : latestEntry.wantedUnits();
  }

  /** Clears what the peer's requests wait for, so that each report of it is served only once. */
  void clearWantedUnits() {
    if (latestEntry != null && latestEntry.wantedUnits() != 0) {
      latestEntry =
          new ShareEntry(
              latestEntry.resource(),
              latestEntry.sentTotal(),
              latestEntry.held(),
              latestEntry.demandMilliQuantaPerSecond(),
              0);
    }
  }

  ShareAmount sentTotal() {
    return sentTotal;
  }

  /**
   * Returns whether the peer has not yet acknowledged the latest state; changes below the
   * thresholds do not count.
   *
   * @param entry the latest state
   * @param demandThreshold largest change of the demand that is not reported, in thousandths of
   *     quanta a second
   * @param nowNanos time of this tick
   * @param acknowledgedNanos latest tick whose report the peer has acknowledged
   */
  boolean isUnacknowledged(
      ShareEntry entry, long demandThreshold, long nowNanos, long acknowledgedNanos) {
    if (reportedState == null || differsNoticeably(reportedState, entry, demandThreshold)) {
      reportedState = entry;
      stateChangedNanos = nowNanos;
    }
    return stateChangedNanos - acknowledgedNanos > 0;
  }

  private static boolean differsNoticeably(ShareEntry old, ShareEntry now, long demandThreshold) {
    if (!old.sentTotal().equals(now.sentTotal()) || old.wantedUnits() != now.wantedUnits()) {
      return true;
    }
    long demandGap = Math.abs(old.demandMilliQuantaPerSecond() - now.demandMilliQuantaPerSecond());
    if (demandGap > demandThreshold) {
      return true;
    }
    ShareAmount gap = old.held().minus(now.held());
    return Math.abs(gap.rateUnits()) > RATE_THRESHOLD_UNITS
        || Math.abs(gap.fullUnits()) > CAPACITY_THRESHOLD_UNITS
        || Math.abs(gap.emptyUnits()) > CAPACITY_THRESHOLD_UNITS;
  }

  /** Returns units sent to the peer less units received from it. */
  ShareBalance balance(String resource) {
    ShareAmount net = sentTotal.minus(receivedTotal);
    return new ShareBalance(resource, net.rateUnits(), net.capacityUnits());
  }
}
