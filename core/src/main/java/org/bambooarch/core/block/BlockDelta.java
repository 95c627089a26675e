package org.bambooarch.core.block;

import java.util.List;

/**
 * A change of client blocks; removals come before additions.
 *
 * @param upserts blocks to add, or to give another place
 * @param removals blocks to remove; unknown ones are ignored
 */
public record BlockDelta(List<PlacedBlock> upserts, List<AddressBlock> removals) {

  /** Copies the lists. */
  public BlockDelta {
    upserts = List.copyOf(upserts);
    removals = List.copyOf(removals);
  }
}
