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
 * <p>A snapshot of one version always has the same bytes, so that it does no harm when two
 * instances write it.
 */
public final class ConfigSnapshots {

  /** Changes between two snapshots. */
  public static final long INTERVAL_VERSIONS = 256;

  private static final String PREFIX = "config/snapshot-";
  private static final int KEPT_SNAPSHOTS = 3;

  private final ObjectStore objects;
  private final ConfigTextCodec text;

  /** Creates the snapshots over an object store. */
  public ConfigSnapshots(ObjectStore objects, ConfigTextCodec text) {
    this.objects = objects;
    this.text = text;
  }

  /** Writes the snapshot of a state and deletes those that are no longer needed. */
  public void write(ConfigState state) throws PlatformException {
    String name = PREFIX + String.format("%012d", state.version());
    objects.put(name, text.writeSnapshot(state).getBytes(StandardCharsets.UTF_8));
    List<String> names = objects.list(PREFIX);
    for (int index = 0; index < names.size() - KEPT_SNAPSHOTS; index++) {
      objects.delete(names.get(index));
    }
  }

  /** Reads the newest snapshot whose version is above the given one. */
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

  /** Returns the version of a snapshot's text. */
  long versionOf(String snapshot) throws ConfigFormatException {
    return text.readSnapshot(snapshot).version();
  }
}
