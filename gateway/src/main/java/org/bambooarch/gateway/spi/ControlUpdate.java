package org.bambooarch.gateway.spi;

import java.util.List;

/**
 * A part of a list of the platform, as of one moment.
 *
 * @param version version of the list, from which its changes can be followed
 * @param changes the whole list as changes, or the changes since an earlier version, in order
 */
public record ControlUpdate(long version, List<ControlChange> changes) {

  /** Copies the changes. */
  public ControlUpdate {
    changes = List.copyOf(changes);
  }
}
