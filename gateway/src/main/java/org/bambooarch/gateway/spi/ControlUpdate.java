package org.bambooarch.gateway.spi;

import java.util.List;

/**
 * Entries of a list of the platform as of one version: the full list, or what changed since an
 * earlier version.
 *
 * @param version version of the list, after which further changes can be watched
 * @param changes the full list as changes, or the changes since the earlier version, oldest first
 */
public record ControlUpdate(long version, List<ControlChange> changes) {

  /** Copies the list of changes, so that the update is immutable. */
  public ControlUpdate {
    changes = List.copyOf(changes);
  }
}
