package org.bambooarch.entry;

import java.util.List;
import org.bambooarch.store.InstanceRecord;

/**
 * How an instance acts together with other instances.
 *
 * @param peerSecrets secrets that all instances share, at least 16 bytes each; the first one opens
 *     connections, all of them are accepted; without any the instance has no peers
 * @param storeRegion name of the region that holds the platform's store
 * @param seedPeers instances to ask when the platform's list cannot be read at start
 */
public record ControlSettings(
    List<String> peerSecrets, String storeRegion, List<InstanceRecord> seedPeers) {

  /** Copies the lists; absent values are empty. */
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
