package org.bambooarch.core.steering.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Chooses the instances to which a caller is sent.
 *
 * <p>Callers go to their own data centre, because bytes between data centres cost; where none is
 * live there, to their region, and else to any. Only instances whose heartbeats arrive are named,
 * and never one that is leaving.
 */
public final class InstanceDirectory {

  /** The most addresses of one answer. */
  public static final int MAX_ADDRESSES = 64;

  private InstanceDirectory() {}

  /**
   * Returns addresses for a caller, possibly none.
   *
   * @param fleet the other instances
   * @param selfTakesCallers whether this instance takes callers itself
   * @param region region of the caller
   * @param dataCentre data centre of the caller
   * @param nowNanos monotonic time
   */
  public static List<String> addresses(
      FleetTable fleet, boolean selfTakesCallers, String region, String dataCentre, long nowNanos) {
    List<InstanceIdentity> taking = new ArrayList<>();
    if (selfTakesCallers) {
      taking.add(fleet.self());
    }
    for (Heartbeat heartbeat : fleet.liveHeartbeats(nowNanos)) {
      if (heartbeat.takesCallers()) {
        taking.add(heartbeat.sender());
      }
    }
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
