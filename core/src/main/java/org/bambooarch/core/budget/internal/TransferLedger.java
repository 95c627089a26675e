package org.bambooarch.core.budget.internal;

import java.util.ArrayDeque;
import org.bambooarch.core.budget.BudgetSettings;
import org.bambooarch.core.budget.BudgetSettings.Protection;
import org.bambooarch.core.budget.ShareAmount;
import org.bambooarch.core.budget.ShareBalance;
import org.bambooarch.core.budget.ShareEntry;

/**
 * What this instance and one peer ever moved to each other of one resource.
 *
 * <p>Totals only grow. A receiver adds the difference to the highest total it has seen, so that
 * lost, repeated and overtaken messages change nothing.
 */
final class TransferLedger {

  private static final long RATE_STEP_UNITS = ShareAmount.WHOLE / 200;
  private static final long HELD_STEP_UNITS = ShareAmount.WHOLE / 50;

  private record Sent(long stampNanos, ShareAmount total) {}

  private final ArrayDeque<Sent> unacknowledged = new ArrayDeque<>();
  private ShareAmount sentTotal = ShareAmount.NONE;
  private ShareAmount acknowledgedTotal = ShareAmount.NONE;
  private ShareAmount receivedTotal = ShareAmount.NONE;
  private ShareEntry view;
  private long viewStampNanos;
  private ShareEntry told;
  private long toldNanos;

  /** Takes in the peer's totals and returns what arrived since. */
  ShareAmount receive(ShareEntry entry, long stampNanos, BudgetSettings settings) {
    ShareAmount news = entry.sentTotal().minus(receivedTotal);
    ShareAmount arrived = news.positivePart();
    boolean keepsHighest = settings.enforces(Protection.RUNNING_TOTALS);
    receivedTotal = keepsHighest ? receivedTotal.plus(arrived) : entry.sentTotal();
    if (view == null || stampNanos - viewStampNanos >= 0) {
      view = entry;
      viewStampNanos = stampNanos;
    }
    return arrived;
  }

  void send(ShareAmount amount, long nowNanos) {
    sentTotal = sentTotal.plus(amount);
    unacknowledged.addLast(new Sent(nowNanos, sentTotal));
  }

  void acknowledge(long stampNanos) {
    while (!unacknowledged.isEmpty() && unacknowledged.peekFirst().stampNanos() - stampNanos <= 0) {
      acknowledgedTotal = unacknowledged.removeFirst().total();
    }
  }

  /** Returns what the peer will hold when everything sent has arrived. */
  ShareAmount expectedHeld() {
    ShareAmount underway = sentTotal.minus(acknowledgedTotal);
    return view == null ? underway : view.held().plus(underway);
  }

  double demandQuantaPerSecond() {
    return view == null ? 0 : view.demandMilliQuantaPerSecond() / 1_000.0;
  }

  long wantedUnits() {
    return view == null ? 0 : view.wantedUnits();
  }

  /** Forgets what the peer waited for, because it was served once. */
  void wantServed() {
    if (view != null && view.wantedUnits() != 0) {
      view =
          new ShareEntry(
              view.resource(), view.sentTotal(), view.held(), view.demandMilliQuantaPerSecond(), 0);
    }
  }

  ShareAmount sentTotal() {
    return sentTotal;
  }

  /**
   * Returns whether the peer has not yet acknowledged the latest state.
   *
   * @param entry the latest state
   * @param demandStep change of the demand that is worth telling, in thousandths of quanta a second
   * @param nowNanos time of this tick
   * @param acknowledgedNanos latest tick whose report the peer has acknowledged
   */
  boolean isNews(ShareEntry entry, long demandStep, long nowNanos, long acknowledgedNanos) {
    if (told == null || differs(told, entry, demandStep)) {
      told = entry;
      toldNanos = nowNanos;
    }
    return toldNanos - acknowledgedNanos > 0;
  }

  private static boolean differs(ShareEntry old, ShareEntry now, long demandStep) {
    if (!old.sentTotal().equals(now.sentTotal()) || old.wantedUnits() != now.wantedUnits()) {
      return true;
    }
    long demandGap = Math.abs(old.demandMilliQuantaPerSecond() - now.demandMilliQuantaPerSecond());
    if (demandGap > demandStep) {
      return true;
    }
    ShareAmount gap = old.held().minus(now.held());
    return Math.abs(gap.rateUnits()) > RATE_STEP_UNITS
        || Math.abs(gap.fullUnits()) > HELD_STEP_UNITS
        || Math.abs(gap.emptyUnits()) > HELD_STEP_UNITS;
  }

  /** Returns units sent less units received. */
  ShareBalance balance(String resource) {
    ShareAmount net = sentTotal.minus(receivedTotal);
    return new ShareBalance(resource, net.rateUnits(), net.capacityUnits());
  }
}
