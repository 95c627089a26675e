package org.bambooarch.core.block;

import java.util.List;

/**
 * A change of client blocks; removals come before additions.
 *
 * @param set blocks to add, or to give another place
 * @param removed blocks to remove; unknown ones are ignored
 */
public record BlockDelta(List<PlacedBlock> set, List<AddressBlock> removed) {

  /** Copies the lists. */
  public BlockDelta {
    set = List.copyOf(set);
    removed = List.copyOf(removed);
  }
}
