package org.bambooarch.core.steering.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.SteeringConfig;

/**
 * Chooses the instances whose addresses a caller gets when it looks instances up.
 *
 * <p>A caller gets the instances of its own data centre, because traffic between data centres is
 * charged for; if none is live there, those of its region, and otherwise those of other regions:
 * only of the regions that all routes of the host with home regions permit, and of any region if
 * the host has none. Only instances whose heartbeats arrive are named, and none that is about to
 * stop. Instances that are partitioned from all servers are named only if no other instance may be.
 *
 * <p>An instance without a configuration does not know which regions the host permits, and one that
 * has just started does not know whether the caller's region is empty, see {@link
 * FleetTable#knowsWhichAreLive}: both name instances of the caller's region only. The home regions
 * of customers are not considered, since a look-up carries no key.
 */
public final class InstanceDirectory {

  /** Largest number of addresses in one answer to a look-up. */
  public static final int MAX_ADDRESSES = 64;

  private static final DirectoryAnswer NO_ANSWER =
      new DirectoryAnswer(List.of(), DirectoryScope.NONE);

  private InstanceDirectory() {}

  /**
   * What the instance that answers knows.
   *
   * @param fleet itself and the others
   * @param config the configuration in force; empty if it has none yet
   * @param takesCallers whether it takes callers
   * @param partitioned whether it is partitioned from all servers
   */
  public record Knowledge(
      FleetTable fleet,
      Optional<SteeringConfig> config,
      boolean takesCallers,
      boolean partitioned) {}

  /**
   * Returns the answer to a look-up; without addresses if no live instance that takes callers may
   * be named.
   *
   * @param nowNanos monotonic time, in nanoseconds
   */
  public static DirectoryAnswer answer(DirectoryLookup lookup, Knowledge knowledge, long nowNanos) {
    List<InstanceIdentity> reaching = new ArrayList<>();
    List<InstanceIdentity> partitioned = new ArrayList<>();
    if (knowledge.takesCallers()) {
      (knowledge.partitioned() ? partitioned : reaching).add(knowledge.fleet().self());
    }
    for (Heartbeat heartbeat : knowledge.fleet().liveHeartbeats(nowNanos)) {
      if (heartbeat.takesCallers()) {
        (heartbeat.partitionedFromServers() ? partitioned : reaching).add(heartbeat.sender());
      }
    }
    HomeRegions elsewhere = regionsElsewhere(lookup, knowledge, nowNanos);
    DirectoryAnswer answer = nearest(reaching, lookup, elsewhere);
    return answer.addresses().isEmpty() ? nearest(partitioned, lookup, elsewhere) : answer;
  }

  /** Returns the regions whose instances may be named if the caller's region has none. */
  private static HomeRegions regionsElsewhere(
      DirectoryLookup lookup, Knowledge knowledge, long nowNanos) {
    if (!knowledge.fleet().knowsWhichAreLive(nowNanos)) {
      return HomeRegions.NONE;
    }
    return knowledge
        .config()
        .map(config -> config.homeRegionsOfHost(lookup.host()))
        .orElse(HomeRegions.NONE);
  }

  private static DirectoryAnswer nearest(
      List<InstanceIdentity> taking, DirectoryLookup lookup, HomeRegions elsewhere) {
    List<String> near = addressesOf(taking, i -> i.dataCentre().equals(lookup.dataCentre()));
    if (!near.isEmpty()) {
      return new DirectoryAnswer(near, DirectoryScope.DATA_CENTRE);
    }
    List<String> inRegion = addressesOf(taking, i -> i.region().equals(lookup.region()));
    if (!inRegion.isEmpty()) {
      return new DirectoryAnswer(inRegion, DirectoryScope.REGION);
    }
    List<String> permitted = addressesOf(taking, i -> elsewhere.permits(i.region()));
    if (permitted.isEmpty()) {
      return NO_ANSWER;
    }
    return new DirectoryAnswer(permitted, scopeOf(elsewhere));
  }

  private static DirectoryScope scopeOf(HomeRegions elsewhere) {
    return switch (elsewhere) {
      case HomeRegions.All all -> DirectoryScope.ANY_REGION;
      case HomeRegions.Only only -> DirectoryScope.HOME_REGIONS;
    };
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
