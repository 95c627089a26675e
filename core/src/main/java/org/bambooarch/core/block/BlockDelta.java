package org.bambooarch.core.block;

import java.util.List;

/**
 * A set of changes to the client blocks; removals are applied before upserts.
 *
 * @param upserts blocks to add, or whose place to replace
 * @param removals blocks to remove; a block that is not present is ignored
 */
public record BlockDelta(List<PlacedBlock> upserts, List<AddressBlock> removals) {

  /** Copies the lists, so that later changes to them do not show here. */
  public BlockDelta {
    upserts = List.copyOf(upserts);
    removals = List.copyOf(removals);
  }
}
