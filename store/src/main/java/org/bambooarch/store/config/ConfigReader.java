package org.bambooarch.store.config;

import java.util.List;
import java.util.Optional;
import org.bambooarch.core.config.ConfigFormatException;
import org.bambooarch.core.config.LoggedChange;
import org.bambooarch.core.config.StoreRead;
import org.bambooarch.core.config.StoreReadResult;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.store.PlatformException;

/**
 * Carries out a {@link StoreRead}.
 *
 * <p>If nothing is new, this reads one row, the head. Otherwise it reads the new changes too, or a
 * snapshot and the changes after it.
 */
public final class ConfigReader {

  /** Number of new changes above which a snapshot is read in place of the oldest of them. */
  public static final long SNAPSHOT_THRESHOLD_CHANGES = 2 * ConfigSnapshots.INTERVAL_VERSIONS;

  private final ConfigRepository repository;
  private final ConfigSnapshots snapshots;

  /** Creates a reader of the given change log and snapshots. */
  public ConfigReader(ConfigRepository repository, ConfigSnapshots snapshots) {
    this.repository = repository;
    this.snapshots = snapshots;
  }

  /**
   * Carries out a read; blocks.
   *
   * <p>The head is read first, so the result proves that no newer version had been accepted when
   * the read began, and the changes reach at least up to the head. Changes that are accepted
   * meanwhile may be in the result too.
   *
   * @throws InvalidInventoryException if a stored row or snapshot cannot be parsed
   */
  public StoreReadResult read(StoreRead read) throws PlatformException, InvalidInventoryException {
    long headVersion = repository.readHead().version();
    if (headVersion <= read.afterVersion()) {
      return new StoreReadResult(headVersion, Optional.empty(), List.of());
    }
    if (headVersion - read.afterVersion() > SNAPSHOT_THRESHOLD_CHANGES) {
      return readFromSnapshot(headVersion, read.afterVersion());
    }
    List<LoggedChange> changes = repository.readLoggedChangesAfter(read.afterVersion());
    return new StoreReadResult(headVersion, Optional.empty(), changes);
  }

  private StoreReadResult readFromSnapshot(long headVersion, long afterVersion)
      throws PlatformException, InvalidInventoryException {
    Optional<String> snapshot = snapshots.readNewestAbove(afterVersion);
    if (snapshot.isEmpty()) {
      List<LoggedChange> changes = repository.readLoggedChangesAfter(afterVersion);
      return new StoreReadResult(headVersion, Optional.empty(), changes);
    }
    try {
      long snapshotVersion = snapshots.versionOf(snapshot.get());
      List<LoggedChange> changes = repository.readLoggedChangesAfter(snapshotVersion);
      return new StoreReadResult(headVersion, snapshot, changes);
    } catch (ConfigFormatException e) {
      throw new InvalidInventoryException("newest object config/snapshot-*: " + e.getMessage(), e);
    }
  }
}
