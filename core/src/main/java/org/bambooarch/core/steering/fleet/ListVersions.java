package org.bambooarch.core.steering.fleet;

/**
 * Versions of the newest changes of the store's lists that an instance knows.
 *
 * @param storeEra how often the store has returned from an older copy of its rows; versions of
 *     different eras cannot be compared
 * @param operatorsChange version of the newest change of the operators' list, 0 for none
 * @param serversChange version of the newest change of the list of servers, 0 for none
 */
public record ListVersions(long storeEra, long operatorsChange, long serversChange) {

  /** What an instance that knows no list reports, and one of an older build. */
  public static final ListVersions NONE = new ListVersions(0, 0, 0);
}
