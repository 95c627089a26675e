package org.bambooarch.core.steering.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

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
   * Returns the answer to a caller's look-up; without addresses if no live instance takes callers.
   *
   * @param fleet this instance and the others
   * @param selfTakesCallers whether this instance takes callers
   * @param selfPartitioned whether this instance is partitioned from all servers
   * @param region region of the caller
   * @param dataCentre data centre of the caller
   * @param nowNanos monotonic time, in nanoseconds
   */
  public static DirectoryAnswer answer(
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
    return nearest(taking, region, dataCentre);
  }

  private static DirectoryAnswer nearest(
      List<InstanceIdentity> taking, String region, String dataCentre) {
    if (taking.isEmpty()) {
      return new DirectoryAnswer(List.of(), DirectoryScope.NONE);
    }
    List<String> near = addressesOf(taking, i -> i.dataCentre().equals(dataCentre));
    if (!near.isEmpty()) {
      return new DirectoryAnswer(near, DirectoryScope.DATA_CENTRE);
    }
    List<String> inRegion = addressesOf(taking, i -> i.region().equals(region));
    if (!inRegion.isEmpty()) {
      return new DirectoryAnswer(inRegion, DirectoryScope.REGION);
    }
    return new DirectoryAnswer(addressesOf(taking, i -> true), DirectoryScope.ANY_REGION);
  }

  private static List<String> addressesOf(
      List<InstanceIdentity> instances, Predicate<InstanceIdentity> condition) {
    return instances.stream()
        .filter(condition)
        .map(InstanceIdentity::callersAddress)
        .sorted()
        .limit(MAX_ADDRESSES)
        .toList();
  }
}
