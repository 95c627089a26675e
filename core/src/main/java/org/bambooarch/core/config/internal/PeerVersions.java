package org.bambooarch.core.config.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The version that each other instance has applied, and the highest version known to exist. */
public final class PeerVersions {

  private final Map<String, Long> versionsByInstance = new HashMap<>();
  private long knownHeadVersion;

  /** Records a version that another instance reports to have applied. */
  public void record(String instance, long appliedVersion) {
    versionsByInstance.merge(instance, appliedVersion, Math::max);
    recordHead(appliedVersion);
  }

  /** Records that a version was committed. */
  public void recordHead(long version) {
    knownHeadVersion = Math.max(knownHeadVersion, version);
  }

  /** Returns the highest version known to be committed. */
  public long knownHeadVersion() {
    return knownHeadVersion;
  }

  /** Returns the instances that have applied a version above the given one, ordered by name. */
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

  /**
   * Removes all instances but the given ones. Versions of stopped instances must not be kept, since
   * an instance starts again from an older version after a restart.
   */
  public void retain(Set<String> instances) {
    versionsByInstance.keySet().retainAll(instances);
  }
}
