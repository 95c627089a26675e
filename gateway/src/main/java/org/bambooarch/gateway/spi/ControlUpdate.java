package org.bambooarch.gateway.spi;

import java.util.List;

/**
 * Entries of a list of the platform as of one version: the full list, or what changed since an
 * earlier version.
 *
 * @param storeEra how often the store has returned from an older copy of its rows; versions of
 *     different eras cannot be compared
 * @param version version of the list, after which further changes can be watched
 * @param newestChange version of the newest of the changes, 0 without changes
 * @param storeMillis time of the store's steady clock at which the list was at this version, in
 *     milliseconds; 0 if unknown
 * @param changes the full list as changes, or the changes since the earlier version, oldest first
 */
public record ControlUpdate(
    long storeEra, long version, long newestChange, long storeMillis, List<ControlChange> changes) {

  /** Copies the list of changes, so that the update is immutable. */
  public ControlUpdate {
    changes = List.copyOf(changes);
  }

  /** Creates an update of unknown time whose newest change is that of its version. */
  public ControlUpdate(long storeEra, long version, List<ControlChange> changes) {
    this(storeEra, version, changes.isEmpty() ? 0 : version, 0, changes);
  }
}
