package org.bambooarch.core.config;

import java.util.List;
import java.util.Optional;

/**
 * What the table and the object store answered to a {@link StoreRead}.
 *
 * @param headVersion version of the head, read before the changes
 * @param snapshot text of a snapshot, if the reader is too far behind for changes alone
 * @param changes changes after the version of the read, or after the snapshot
 */
public record StoreReadResult(
    long headVersion, Optional<String> snapshot, List<LoggedChange> changes) {

  /** Copies the changes. */
  public StoreReadResult {
    changes = List.copyOf(changes);
  }
}
