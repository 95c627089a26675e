package org.bambooarch.core.steering.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.hash.Hashes;

/**
 * Chooses the instance through which an instance that is partitioned from all servers forwards a
 * request.
 *
 * <p>An instance outside the home regions is never chosen, not even one of the own region: the
 * client may be of another region, which is not known here. Of the permitted instances those of the
 * own region come first. Rendezvous hashing spreads the requests over all instances that come into
 * question, and keeps the requests of one hash at one of them.
 */
public final class RelayChoice {

  private RelayChoice() {}

  /**
   * Returns the instance to use; empty if there is none.
   *
   * @param heartbeats newest heartbeat of each other instance that is live
   * @param region region of the partitioned instance
   * @param homeRegions the only regions that may serve or forward the request
   * @param hash hash of the request
   */
  public static Optional<InstanceIdentity> choose(
      List<Heartbeat> heartbeats, String region, HomeRegions homeRegions, long hash) {
    List<InstanceIdentity> usable =
        heartbeats.stream()
            .filter(Heartbeat::takesCallers)
            .filter(heartbeat -> !heartbeat.partitionedFromServers())
            .map(Heartbeat::sender)
            .filter(instance -> homeRegions.permits(instance.region()))
            .toList();
    List<InstanceIdentity> near =
        usable.stream().filter(instance -> instance.region().equals(region)).toList();
    return highestRanked(near.isEmpty() ? usable : near, hash);
  }

  private static Optional<InstanceIdentity> highestRanked(
      List<InstanceIdentity> instances, long hash) {
    return instances.stream()
        .max(
            Comparator.comparingLong(instance -> Hashes.combine(hash, Hashes.of(instance.name()))));
  }
}
