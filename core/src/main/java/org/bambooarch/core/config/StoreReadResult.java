package org.bambooarch.core.config;

import java.util.List;
import java.util.Optional;

/**
 * Result of a {@link StoreRead} from the table and the object store.
 *
 * @param headVersion newest committed version, read before the changes
 * @param snapshot text of a snapshot, if the instance is too far behind to read changes alone
 * @param changes changes after the version of the request, or after that of the snapshot
 */
public record StoreReadResult(
    long headVersion, Optional<String> snapshot, List<LoggedChange> changes) {

  /** Copies the list, so that later changes to it do not show here. */
  public StoreReadResult {
    changes = List.copyOf(changes);
  }
}
