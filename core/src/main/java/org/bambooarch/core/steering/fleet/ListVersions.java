package org.bambooarch.core.steering.fleet;

/**
 * What an instance knows of the store's lists.
 *
 * @param storeEra how often the store has returned from an older copy of its rows; versions and
 *     times of different eras cannot be compared
 * @param operators the operators' list
 * @param servers the list of servers
 */
public record ListVersions(long storeEra, ListStatus operators, ListStatus servers) {

  /** What an instance that knows no list reports, and one of an older build. */
  public static final ListVersions NONE = new ListVersions(0, ListStatus.NONE, ListStatus.NONE);

  /** Creates what an older build reports: versions of the newest changes, 0 for none. */
  public ListVersions(long storeEra, long operatorsChange, long serversChange) {
    this(storeEra, new ListStatus(operatorsChange, 0, 0), new ListStatus(serversChange, 0, 0));
  }
}
