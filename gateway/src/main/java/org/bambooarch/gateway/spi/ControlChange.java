package org.bambooarch.gateway.spi;

import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.place.ServerEntry;

/** One change in a list that the platform keeps, such as the list of servers. */
public sealed interface ControlChange {

  /** A configuration has been published; it takes effect if its version is the newest. */
  record ConfigurationChanged(SteeringConfig config) implements ControlChange {}

  /** The configuration has been removed; what operators want in its place is not known yet. */
  record ConfigurationRemoved() implements ControlChange {}

  /** Operators have closed a data centre: its servers must get no further requests. */
  record DataCentreClosed(String dataCentre) implements ControlChange {}

  /** Operators have reopened a data centre: its servers may get requests again. */
  record DataCentreReopened(String dataCentre) implements ControlChange {}

  /** A server has been listed, or its entry has changed. */
  record ServerListed(ServerEntry server) implements ControlChange {}

  /** A server is no longer listed, or its entry does not describe a usable server. */
  record ServerRemoved(String id) implements ControlChange {}

  /** An instance of the fleet is listed. */
  record InstanceListed(InstanceIdentity instance) implements ControlChange {}

  /**
   * An entry could not be read. Its last readable value stays in force, unless another change in
   * the same update says otherwise.
   *
   * @param place table and key of the entry
   * @param message what was expected and what was found
   * @param isConfiguration whether the entry is the configuration, so that the newest one is not
   *     known
   */
  record UnreadableEntry(String place, String message, boolean isConfiguration)
      implements ControlChange {}
}
