package org.bambooarch.core.config.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the peers say about themselves: the version that each has in force. */
public final class PeerVersions {

  private final Map<String, Long> versionsByInstance = new HashMap<>();
  private long knownHeadVersion;

  /** Records the version that a peer has in force. */
  public void record(String instance, long appliedVersion) {
    versionsByInstance.merge(instance, appliedVersion, Math::max);
    recordHead(appliedVersion);
  }

  /** Records that a version was accepted. */
  public void recordHead(long version) {
    knownHeadVersion = Math.max(knownHeadVersion, version);
  }

  /** Returns the highest version known to be accepted. */
  public long knownHeadVersion() {
    return knownHeadVersion;
  }

  /** Returns the peers that have more than the given version in force. */
  public List<String> instancesAheadOf(long version) {
    List<String> ahead = new ArrayList<>();
    for (Map.Entry<String, Long> peer : versionsByInstance.entrySet()) {
      if (peer.getValue() > version) {
        ahead.add(peer.getKey());
      }
    }
    ahead.sort(null);
    return ahead;
  }

  /** Forgets peers that have gone; a restarted one starts from an older version. */
  public void retain(Set<String> instances) {
    versionsByInstance.keySet().retainAll(instances);
  }
}
