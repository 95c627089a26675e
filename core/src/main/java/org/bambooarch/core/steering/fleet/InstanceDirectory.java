package org.bambooarch.core.steering.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Chooses the instances whose addresses a caller gets when it looks instances up.
 *
 * <p>A caller gets the instances of its own data centre, because traffic between data centres is
 * charged for; if none is live there, those of its region, and otherwise those of any region. Only
 * instances whose heartbeats arrive are named, and none that is about to stop. Instances that are
 * partitioned from all servers are named only if all that take callers are.
 */
public final class InstanceDirectory {

  /** Largest number of addresses in one answer to a look-up. */
  public static final int MAX_ADDRESSES = 64;

  private InstanceDirectory() {}

  /**
   * Returns the sorted addresses for a caller; empty if no live instance takes callers.
   *
   * @param fleet this instance and the others
   * @param selfTakesCallers whether this instance takes callers
   * @param selfPartitioned whether this instance is partitioned from all servers
   * @param region region of the caller
   * @param dataCentre data centre of the caller
   * @param nowNanos monotonic time, in nanoseconds
   */
  public static List<String> addresses(
      FleetTable fleet,
      boolean selfTakesCallers,
      boolean selfPartitioned,
      String region,
      String dataCentre,
      long nowNanos) {
    List<InstanceIdentity> reaching = new ArrayList<>();
    List<InstanceIdentity> partitioned = new ArrayList<>();
    if (selfTakesCallers) {
      (selfPartitioned ? partitioned : reaching).add(fleet.self());
    }
    for (Heartbeat heartbeat : fleet.liveHeartbeats(nowNanos)) {
      if (heartbeat.takesCallers()) {
        (heartbeat.partitionedFromServers() ? partitioned : reaching).add(heartbeat.sender());
      }
    }
    List<InstanceIdentity> taking = reaching.isEmpty() ? partitioned : reaching;
    List<String> near = addressesOf(taking, i -> i.dataCentre().equals(dataCentre));
    if (!near.isEmpty()) {
      return near;
    }
    List<String> inRegion = addressesOf(taking, i -> i.region().equals(region));
    return inRegion.isEmpty() ? addressesOf(taking, i -> true) : inRegion;
  }

  private static List<String> addressesOf(
      List<InstanceIdentity> instances, java.util.function.Predicate<InstanceIdentity> condition) {
    return instances.stream()
        .filter(condition)
        .map(InstanceIdentity::callersAddress)
        .sorted()
        .limit(MAX_ADDRESSES)
        .toList();
  }
}
