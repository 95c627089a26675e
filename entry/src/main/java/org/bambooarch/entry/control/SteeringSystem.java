package org.bambooarch.entry.control;

import java.util.List;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.routing.TargetChooser;
import org.bambooarch.core.routing.TargetTable;
import org.bambooarch.core.time.Clock;
import org.bambooarch.platform.InstanceRecord;

/**
 * Keeps the choice of target servers in step with the configuration and the fleet.
 *
 * <p>The control thread updates and ticks; traffic threads read {@link #chooser()}.
 */
public final class SteeringSystem {

  private final String localDataCentre;
  private final Clock clock;
  private LinkBudgets links;
  private int instances;
  private long version;
  private volatile TargetChooser chooser;

  /** Creates a system that knows no server yet. */
  public SteeringSystem(String localDataCentre, Clock clock) {
    this.localDataCentre = localDataCentre;
    this.clock = clock;
    this.instances = 1;
    this.links = LinkBudgets.equalShares(Inventory.empty(), instances, clock);
    this.chooser =
        TargetChooser.create(TargetTable.from(Inventory.empty(), localDataCentre), links, clock);
  }

  /** Returns the choice of servers for the configuration in force. */
  public TargetChooser chooser() {
    return chooser;
  }

  /** Returns this instance's shares of the links. */
  LinkBudgets links() {
    return links;
  }

  /** Takes in the configuration and the instances that share the links. */
  void update(long newVersion, Inventory inventory, List<InstanceRecord> listed) {
    int newInstances = Math.max(1, listed.size());
    boolean changed = newVersion != version || newInstances != instances;
    if (!changed || !isDeclared(inventory)) {
      return;
    }
    version = newVersion;
    instances = newInstances;
    links = links.reconfigured(inventory, instances);
    chooser = chooser.reconfigured(TargetTable.from(inventory, localDataCentre), links);
  }

  /** Runs the systems over the tables of servers. */
  void tick() {
    chooser.tick();
  }

  private boolean isDeclared(Inventory inventory) {
    return inventory.dataCentres().stream()
        .anyMatch(dataCentre -> dataCentre.name().equals(localDataCentre));
  }
}
