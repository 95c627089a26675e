package org.bambooarch.gateway.control;

import org.tinylog.Logger;

/**
 * The era of the platform's store: how often it has returned from an older copy of its rows.
 *
 * <p>What was written in the seconds before such a return is gone until it is written again, and
 * versions are given out a second time.
 *
 * <p>Used on the event loop only.
 */
final class StoreEra {

  private final Runnable onNewEra;
  private boolean known;
  private long current;

  /**
   * Creates an era that is not known yet.
   *
   * @param onNewEra called after the first response of a later era, but not after the very first
   */
  StoreEra(Runnable onNewEra) {
    this.onNewEra = onNewEra;
  }

  /** Returns the latest era of which a response has arrived, or 0 before the first one. */
  long current() {
    return current;
  }

  /** Records the era of a response; a late response of an earlier era changes nothing. */
  void onResponse(long era) {
    if (known && era <= current) {
      return;
    }
    boolean first = !known;
    known = true;
    long before = current;
    current = era;
    if (first) {
      return;
    }
    Logger.warn(
        "event=store-reverted era={} before={} reason=\"the store returned from an older copy,"
            + " reading all lists and registering again\"",
        era,
        before);
    onNewEra.run();
  }
}
