package org.bambooarch.core.budget;

import java.util.Optional;

/**
 * Access to the row of the platform's table that holds the share epoch.
 *
 * <p>Calls return without waiting for the table. Whoever creates the store passes each result to
 * {@link FleetBudgets#onStoreAnswer} on the control thread. A result may never come.
 */
public interface ShareEpochStore {

  /**
   * Starts a read that sees every write committed before it began.
   *
   * @param startedNanos monotonic time of the start in nanoseconds, which the answer repeats
   */
  void startRead(long startedNanos);

  /**
   * Starts a write that takes effect only if the row still holds the expected epoch
   * (compare-and-set).
   *
   * @param expectedEpoch number of the epoch that is replaced, zero if the row must not exist
   * @param next the epoch to store
   */
  void startCompareAndSet(long expectedEpoch, ShareEpoch next);

  /** The result of a call to the store. */
  sealed interface Answer {

    /** The row as read by the read started at the given time; empty if it does not exist. */
    record Read(long startedNanos, Optional<ShareEpoch> epoch) implements Answer {}

    /** The write took effect. */
    record Written(ShareEpoch epoch) implements Answer {}

    /** The write had no effect because the row holds another epoch. */
    record Conflict() implements Answer {}

    /**
     * The write may or may not have taken effect, or a read failed; the next read shows what the
     * row holds.
     */
    record Unknown() implements Answer {}
  }
}
