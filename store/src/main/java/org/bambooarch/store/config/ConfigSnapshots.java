package org.bambooarch.store.config;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.config.ConfigFormatException;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.ConfigTextCodec;
import org.bambooarch.store.ObjectStore;
import org.bambooarch.store.PlatformException;

/**
 * Snapshots of the configuration in the object store.
 *
 * <p>All snapshots of one version have the same bytes, so it does no harm when two instances write
 * the same one.
 */
public final class ConfigSnapshots {

  /** Number of versions after which the next snapshot is due. */
  public static final long INTERVAL_VERSIONS = 256;

  private static final String PREFIX = "config/snapshot-";
  private static final int KEPT_SNAPSHOTS = 3;

  private final ObjectStore objects;
  private final ConfigTextCodec codec;

  /** Creates snapshots that are kept in the given object store, in the given format. */
  public ConfigSnapshots(ObjectStore objects, ConfigTextCodec codec) {
    this.objects = objects;
    this.codec = codec;
  }

  /**
   * Writes the snapshot of a state, then deletes all but the {@value #KEPT_SNAPSHOTS} newest ones.
   */
  public void write(ConfigState state) throws PlatformException {
    String name = PREFIX + String.format("%012d", state.version());
    objects.put(name, codec.writeSnapshot(state).getBytes(StandardCharsets.UTF_8));
    List<String> names = objects.list(PREFIX);
    for (int index = 0; index < names.size() - KEPT_SNAPSHOTS; index++) {
      objects.delete(names.get(index));
    }
  }

  /**
   * Reads the newest snapshot.
   *
   * @return its text, or empty if there is no snapshot, its version is not above the given one or
   *     it was deleted meanwhile
   */
  public Optional<String> readNewestAbove(long version) throws PlatformException {
    List<String> names = objects.list(PREFIX);
    if (names.isEmpty()) {
      return Optional.empty();
    }
    String newest = names.getLast();
    if (Long.parseLong(newest.substring(PREFIX.length())) <= version) {
      return Optional.empty();
    }
    return objects.get(newest).map(bytes -> new String(bytes, StandardCharsets.UTF_8));
  }

  /**
   * Returns the version in the text of a snapshot.
   *
   * @throws ConfigFormatException if the text is not a snapshot
   */
  long versionOf(String snapshot) throws ConfigFormatException {
    return codec.readSnapshot(snapshot).version();
  }
}
