package org.bambooarch.entry.control;

import java.util.List;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.entry.request.RouteTable;
import org.bambooarch.platform.InstanceRecord;

/**
 * An immutable view of the fleet, published by the control thread and read by traffic threads.
 *
 * @param config the configuration in force
 * @param routes routes of that configuration, ready for matching
 * @param instances live and leaving instances
 */
public record FleetView(ConfigState config, RouteTable routes, List<InstanceRecord> instances) {

  /** Copies the instances. */
  public FleetView {
    instances = List.copyOf(instances);
  }

  /** Returns the view before anything was read. */
  public static FleetView empty() {
    ConfigState initial = ConfigState.initial();
    return new FleetView(initial, RouteTable.of(initial.inventory()), List.of());
  }
}
