package org.bambooarch.entry;

import java.util.List;
import org.bambooarch.store.InstanceRecord;

/**
 * Settings of an instance for its cooperation with other instances.
 *
 * @param peerSecrets secrets shared by all instances, at least 16 bytes each; the first one
 *     authenticates connections that this instance opens, all of them are accepted on connections
 *     from others; with an empty list the instance has no peers
 * @param storeRegion name of the region that holds the platform's store
 * @param seedPeers instances to connect to if the platform's list of instances cannot be read at
 *     start
 */
public record ControlSettings(
    List<String> peerSecrets, String storeRegion, List<InstanceRecord> seedPeers) {

  /** Copies the lists; a null list or name becomes empty. */
  public ControlSettings {
    peerSecrets = peerSecrets == null ? List.of() : List.copyOf(peerSecrets);
    storeRegion = storeRegion == null ? "" : storeRegion;
    seedPeers = seedPeers == null ? List.of() : List.copyOf(seedPeers);
  }

  /** Returns the settings of an instance without peers. */
  public static ControlSettings withoutPeers() {
    return new ControlSettings(List.of(), "", List.of());
  }

  @Override
  public String toString() {
    return "ControlSettings[peerSecrets=%d hidden, storeRegion=%s, seedPeers=%s]"
        .formatted(peerSecrets.size(), storeRegion, seedPeers);
  }
}
