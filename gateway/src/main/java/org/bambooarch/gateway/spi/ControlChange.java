package org.bambooarch.gateway.spi;

import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.place.ServerEntry;

/** One change in a list of the platform. */
public sealed interface ControlChange {

  /** A configuration is the newest. */
  record ConfigurationChanged(SteeringConfig config) implements ControlChange {}

  /** A data centre's servers are to get nothing. */
  record DataCentreClosed(String dataCentre) implements ControlChange {}

  /** A data centre's servers may get requests again. */
  record DataCentreReopened(String dataCentre) implements ControlChange {}

  /** A server is listed, or its entry is new. */
  record ServerListed(ServerEntry server) implements ControlChange {}

  /** A server is listed no longer, or its entry names no server to use. */
  record ServerRemoved(String id) implements ControlChange {}

  /** An instance is listed. */
  record InstanceListed(InstanceIdentity instance) implements ControlChange {}

  /**
   * Something could not be read; what it said before holds, unless another change says otherwise.
   *
   * @param place where it stands
   * @param message what was expected and what was found
   */
  record UnreadableEntry(String place, String message) implements ControlChange {}
}
