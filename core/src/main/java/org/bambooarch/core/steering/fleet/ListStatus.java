package org.bambooarch.core.steering.fleet;

/**
 * What an instance knows of one of the store's lists.
 *
 * @param newestChange version of the newest change that it knows, 0 for none
 * @param digest hash of the list's content; two lists with the same digest are taken for equal
 * @param confirmedStoreMillis time of the store's steady clock at which the list had this content,
 *     in milliseconds; 0 if unknown, and from older builds
 */
public record ListStatus(long newestChange, long digest, long confirmedStoreMillis) {

  /** What an instance reports of a list that it does not know. */
  public static final ListStatus NONE = new ListStatus(0, 0, 0);

  /** Returns whether the store has confirmed the list at a known time. */
  public boolean isConfirmed() {
    return confirmedStoreMillis > 0;
  }
}
