package org.bambooarch.core.steering.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Instances that have been silent for so long that they no longer count. They are sent heartbeats
 * at a lower rate, so that the parts of the fleet find each other after a long network partition.
 *
 * <p>Not thread-safe.
 */
final class FormerInstances {

  /** Time between two heartbeats to an instance, in nanoseconds: 2 s. */
  static final long HEARTBEAT_NANOS = 2_000_000_000L;

  /**
   * Time after which an instance is forgotten, in nanoseconds: 1 h. Regions lose each other for
   * minutes, and instances that were replaced do not come back.
   */
  static final long FORGET_AFTER_NANOS = 3_600_000_000_000L;

  private final Map<String, Former> byName = new HashMap<>();

  private static final class Former {
    private final InstanceIdentity identity;
    private final long forgetNanos;
    private long nextHeartbeatNanos;

    private Former(InstanceIdentity identity, long nowNanos) {
      this.identity = identity;
      this.forgetNanos = nowNanos + FORGET_AFTER_NANOS;
      this.nextHeartbeatNanos = nowNanos;
    }
  }

  void add(InstanceIdentity instance, long nowNanos) {
    byName.put(instance.name(), new Former(instance, nowNanos));
  }

  void remove(String name) {
    byName.remove(name);
  }

  /** Returns the instances to which a heartbeat is due, and counts it as sent. */
  List<InstanceIdentity> takeDue(long nowNanos) {
    byName.values().removeIf(former -> nowNanos - former.forgetNanos >= 0);
    List<InstanceIdentity> due = new ArrayList<>();
    for (Former former : byName.values()) {
      if (nowNanos - former.nextHeartbeatNanos >= 0) {
        former.nextHeartbeatNanos = nowNanos + HEARTBEAT_NANOS;
        due.add(former.identity);
      }
    }
    return due;
  }
}
