package org.bambooarch.store.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.ConfigFormatException;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.ConfigTextCodec;
import org.bambooarch.core.config.IssuedKey;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.inventory.InvalidInventoryException;

/** Reads and writes changes and snapshots as JSON. */
public final class JsonConfigText implements ConfigTextCodec {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private record Snapshot(long version, Inventory inventory, List<IssuedKey> keys) {}

  @Override
  public ConfigChange readChange(String text) throws ConfigFormatException {
    try {
      return ChangeJson.read(text);
    } catch (InvalidInventoryException | IllegalArgumentException e) {
      throw new ConfigFormatException("change: " + e.getMessage(), e);
    }
  }

  @Override
  public ConfigState readSnapshot(String text) throws ConfigFormatException {
    try {
      Snapshot snapshot = MAPPER.readValue(text, Snapshot.class);
      Map<String, IssuedKey> keysByDigest = new HashMap<>();
      for (IssuedKey key : snapshot.keys()) {
        keysByDigest.put(key.digest(), key);
      }
      return new ConfigState(snapshot.version(), snapshot.inventory(), keysByDigest);
    } catch (JsonProcessingException e) {
      throw new ConfigFormatException("snapshot: " + e.getMessage(), e);
    }
  }

  @Override
  public String writeSnapshot(ConfigState state) {
    List<IssuedKey> keys = List.copyOf(new TreeMap<>(state.keysByDigest()).values());
    try {
      return MAPPER.writeValueAsString(new Snapshot(state.version(), state.inventory(), keys));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("records of the configuration are always writable", e);
    }
  }
}
