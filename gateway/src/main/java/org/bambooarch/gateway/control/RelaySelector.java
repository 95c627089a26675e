package org.bambooarch.gateway.control;

import java.util.Optional;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.fleet.InstanceIdentity;

/** Tells whether requests can reach the servers only through another instance, and which one. */
public interface RelaySelector {

  /** Returns whether this instance is partitioned from all servers. */
  boolean isPartitionedFromServers();

  /**
   * Returns an instance through which a request can be forwarded meanwhile; empty if there is none.
   *
   * @param homeRegions the only regions that may serve or forward the request
   * @param hash hash of the request, by which one of several instances is chosen
   */
  Optional<InstanceIdentity> relayInstance(HomeRegions homeRegions, long hash);
}
