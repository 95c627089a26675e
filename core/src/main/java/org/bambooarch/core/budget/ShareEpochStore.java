package org.bambooarch.core.budget;

import java.util.Optional;

/**
 * The row of the platform's table that holds the share epoch.
 *
 * <p>Calls return at once. The caller of the store hands each result to {@link
 * FleetBudgets#onStoreAnswer} on the control thread; a result that never comes is allowed.
 */
public interface ShareEpochStore {

  /**
   * Starts a read that sees every write committed before it began.
   *
   * @param startedNanos monotonic time of the start, returned with the answer
   */
  void startRead(long startedNanos);

  /**
   * Starts a write that takes effect only if the row still holds the expected epoch.
   *
   * @param expectedEpoch number of the epoch that is replaced, zero if the row must not exist
   * @param next the epoch to store
   */
  void startCompareAndSet(long expectedEpoch, ShareEpoch next);

  /** The result of a call to the store. */
  sealed interface Answer {

    /** The row as read; empty if it does not exist. */
    record Read(long startedNanos, Optional<ShareEpoch> epoch) implements Answer {}

    /** The write took effect. */
    record Written(ShareEpoch epoch) implements Answer {}

    /** The write had no effect because the row holds another epoch. */
    record Conflict() implements Answer {}

    /** The write may or may not have taken effect; the next read tells. */
    record Unknown() implements Answer {}
  }
}
