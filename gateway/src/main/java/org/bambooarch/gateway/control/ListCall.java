package org.bambooarch.gateway.control;

import org.bambooarch.gateway.spi.ControlUpdate;

/**
 * A call to the store for a list.
 *
 * @param readsFullList whether it reads the full list, and not the changes since a version
 * @param waitMillis longest time for which it waits for a change, in milliseconds
 * @param indirect whether it goes through another instance
 * @param askedNanos monotonic time at which it was made
 */
record ListCall(boolean readsFullList, long waitMillis, boolean indirect, long askedNanos) {

  /** Returns a time at or after which the list was as the response says. */
  long asOfNanos(ControlUpdate response, long nowNanos) {
    boolean waitedForNothing = response.changes().isEmpty() && response.storeMillis() == 0;
    long waitedNanos = waitedForNothing ? waitMillis * 1_000_000L : 0;
    return Math.min(askedNanos + waitedNanos, nowNanos);
  }

  /** Returns the kind of the call for the log. */
  String kind() {
    String way = indirect ? "indirect-" : "";
    return way + (readsFullList ? "full" : waitMillis == 0 ? "ask" : "watch");
  }
}
