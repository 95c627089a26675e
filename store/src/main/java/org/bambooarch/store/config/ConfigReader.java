package org.bambooarch.store.config;

import java.util.List;
import java.util.Optional;
import org.bambooarch.core.config.ConfigFormatException;
import org.bambooarch.core.config.LoggedChange;
import org.bambooarch.core.config.StoreRead;
import org.bambooarch.core.config.StoreReadResult;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.store.PlatformException;

/** Answers a {@link StoreRead}: one row when nothing is new, else the changes or a snapshot. */
public final class ConfigReader {

  /** Changes beyond which a snapshot is read first. */
  public static final long SNAPSHOT_FROM_CHANGES = 2 * ConfigSnapshots.INTERVAL_VERSIONS;

  private final ConfigRepository repository;
  private final ConfigSnapshots snapshots;

  /** Creates the reader. */
  public ConfigReader(ConfigRepository repository, ConfigSnapshots snapshots) {
    this.repository = repository;
    this.snapshots = snapshots;
  }

  /** Reads the head first, so that the answer proves it for the moment before the read. */
  public StoreReadResult read(StoreRead read) throws PlatformException, InvalidInventoryException {
    long headVersion = repository.readHead().version();
    if (headVersion <= read.afterVersion()) {
      return new StoreReadResult(headVersion, Optional.empty(), List.of());
    }
    if (headVersion - read.afterVersion() > SNAPSHOT_FROM_CHANGES) {
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
      throw new InvalidInventoryException("object config/snapshot: " + e.getMessage(), e);
    }
  }
}
