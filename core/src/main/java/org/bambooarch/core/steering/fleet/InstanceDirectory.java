package org.bambooarch.core.steering.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.SteeringConfig;

/**
 * Chooses the instances whose addresses a caller gets when it looks instances up.
 *
 * <p>Only instances whose heartbeats arrive are named. A caller gets the first of these that are
 * not empty:
 *
 * <ol>
 *   <li>the ready instances of its own data centre, because traffic between data centres is charged
 *       for
 *   <li>those of its region
 *   <li>if the host has no routes with home regions, the ready instances of any region
 *   <li>instances of its region that are stopping and still accept requests, since all instances of
 *       a region may be stopping or starting at the same moment
 *   <li>ready instances of the regions that all routes of the host with home regions permit
 * </ol>
 *
 * <p>Instances that are partitioned from all servers are named only if no other instance may be.
 *
 * <p>An instance without a configuration does not know which regions the host permits, and one that
 * has just started does not know whether the caller's region is empty, see {@link
 * FleetTable#knowsWhichAreLive}: both name instances of the caller's region only. The home regions
 * of customers are not considered, since a look-up carries no key.
 */
public final class InstanceDirectory {

  /** Largest number of addresses in one answer to a look-up. */
  public static final int MAX_ADDRESSES = 64;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private static final DirectoryAnswer NO_ANSWER =
      new DirectoryAnswer(List.of(), DirectoryScope.NONE);

  private InstanceDirectory() {}

  /**
   * What the instance that answers knows.
   *
   * @param fleet itself and the others
   * @param config the configuration in force; empty if it has none yet, or knows of a newer one
   * @param takesCallers whether it takes callers
   * @param stopping itself if it is stopping and still accepts requests
   * @param partitioned whether it is partitioned from all servers
   */
  public record Knowledge(
      FleetTable fleet,
      Optional<SteeringConfig> config,
      boolean takesCallers,
      Optional<StoppingInstance> stopping,
      boolean partitioned) {}

  /**
   * Returns the answer to a look-up; without addresses if no live instance may be named.
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
    return inRegion(reaching, lookup)
        .or(
            () ->
                withoutReadyInRegion(
                    elsewhere,
                    inRegions(reaching, elsewhere),
                    stoppingInRegion(lookup.region(), knowledge, nowNanos)))
        .or(() -> inRegion(partitioned, lookup))
        .or(() -> inRegions(partitioned, elsewhere))
        .orElse(NO_ANSWER);
  }

  /**
   * Returns the answer if the caller's region has no ready instance. An instance elsewhere serves
   * all requests, a stopping one only those that are over before its end.
   */
  private static Optional<DirectoryAnswer> withoutReadyInRegion(
      HomeRegions elsewhere,
      Optional<DirectoryAnswer> readyElsewhere,
      Optional<DirectoryAnswer> stoppingInRegion) {
    return switch (elsewhere) {
      case HomeRegions.All all -> readyElsewhere.or(() -> stoppingInRegion);
      case HomeRegions.Only only -> stoppingInRegion.or(() -> readyElsewhere);
    };
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

  private static Optional<DirectoryAnswer> inRegion(
      List<InstanceIdentity> instances, DirectoryLookup lookup) {
    return answerOf(
            instances, i -> i.dataCentre().equals(lookup.dataCentre()), DirectoryScope.DATA_CENTRE)
        .or(
            () ->
                answerOf(
                    instances, i -> i.region().equals(lookup.region()), DirectoryScope.REGION));
  }

  private static Optional<DirectoryAnswer> inRegions(
      List<InstanceIdentity> instances, HomeRegions regions) {
    DirectoryScope scope =
        switch (regions) {
          case HomeRegions.All all -> DirectoryScope.ANY_REGION;
          case HomeRegions.Only only -> DirectoryScope.HOME_REGIONS;
        };
    return answerOf(instances, i -> regions.permits(i.region()), scope);
  }

  private static Optional<DirectoryAnswer> answerOf(
      List<InstanceIdentity> instances,
      Predicate<InstanceIdentity> condition,
      DirectoryScope scope) {
    List<String> addresses = addressesOf(instances.stream().filter(condition).toList());
    return addresses.isEmpty()
        ? Optional.empty()
        : Optional.of(new DirectoryAnswer(addresses, scope));
  }

  private static Optional<DirectoryAnswer> stoppingInRegion(
      String region, Knowledge knowledge, long nowNanos) {
    // The last instance of a region may refuse requests as soon as another one is ready, which the
    // next heartbeat tells.
    long validUntilNanos = nowNanos + FleetTable.HEARTBEAT_NANOS;
    List<InstanceIdentity> named = new ArrayList<>();
    for (StoppingInstance instance : stoppingInstances(knowledge, nowNanos)) {
      long leftNanos = instance.acceptUntilNanos() - nowNanos;
      if (!instance.identity().region().equals(region) || leftNanos < NANOS_PER_MILLI) {
        continue;
      }
      named.add(instance.identity());
      validUntilNanos = Math.min(leftNanos, validUntilNanos - nowNanos) + nowNanos;
    }
    return named.isEmpty()
        ? Optional.empty()
        : Optional.of(
            new DirectoryAnswer(
                addressesOf(named),
                DirectoryScope.STOPPING_IN_REGION,
                OptionalLong.of(validUntilNanos)));
  }

  /** Returns the instances that are stopping, without those that are partitioned. */
  private static List<StoppingInstance> stoppingInstances(Knowledge knowledge, long nowNanos) {
    List<StoppingInstance> stopping =
        new ArrayList<>(knowledge.fleet().stoppingInstances(nowNanos));
    if (!knowledge.partitioned()) {
      knowledge.stopping().ifPresent(stopping::add);
    }
    return stopping;
  }

  private static List<String> addressesOf(List<InstanceIdentity> instances) {
    return instances.stream()
        .map(InstanceIdentity::callersAddress)
        .sorted()
        .limit(MAX_ADDRESSES)
        .toList();
  }
}
