package org.bambooarch.entry.control;

import java.util.List;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.routing.LookupSettings;
import org.bambooarch.core.routing.TargetChooser;
import org.bambooarch.core.routing.TargetTable;
import org.bambooarch.core.time.Clock;
import org.bambooarch.store.InstanceRecord;

/**
 * Keeps the choice of target servers and the look-ups in step with the configuration and the fleet.
 *
 * <p>The control thread updates and ticks; traffic threads read {@link #chooser()} and {@link
 * #lookups()}.
 */
public final class RoutingTables {

  private final String localDataCentre;
  private final LookupSettings lookupSettings;
  private final Clock clock;
  private LinkBudgets links;
  private Inventory inventory = Inventory.empty();
  private List<InstanceRecord> instances = List.of();
  private volatile TargetChooser chooser;
  private volatile LookupTables lookups;

  /** Creates a system that knows no server yet. */
  public RoutingTables(String localDataCentre, LookupSettings lookupSettings, Clock clock) {
    this.localDataCentre = localDataCentre;
    this.lookupSettings = lookupSettings;
    this.clock = clock;
    this.links = LinkBudgets.equalShares(inventory, 1, clock);
    this.chooser = TargetChooser.create(TargetTable.from(inventory, localDataCentre), links, clock);
    this.lookups = newLookups();
  }

  /** Returns the choice of servers for the configuration in force. */
  public TargetChooser chooser() {
    return chooser;
  }

  /** Returns the look-ups for the configuration in force. */
  public LookupTables lookups() {
    return lookups;
  }

  /** Takes in the configuration and the instances, which share the links equally. */
  void update(Inventory newInventory, List<InstanceRecord> newInstances) {
    boolean inventoryChanged = newInventory != inventory && declaresLocalDataCentre(newInventory);
    boolean instancesChanged = !newInstances.equals(instances);
    if (!inventoryChanged && !instancesChanged) {
      return;
    }
    boolean shareChanged = newInstances.size() != instances.size();
    instances = newInstances;
    if (inventoryChanged || shareChanged) {
      inventory = inventoryChanged ? newInventory : inventory;
      links = links.reconfigured(inventory, Math.max(1, instances.size()));
      chooser = chooser.reconfigured(TargetTable.from(inventory, localDataCentre), links);
    }
    LookupTables next = inventoryChanged ? newLookups() : lookups;
    next.update(instances);
    lookups = next;
  }

  /** Runs the systems over the tables of servers and look-ups. */
  void tick() {
    chooser.tick();
    lookups.tick();
  }

  private LookupTables newLookups() {
    return LookupTables.create(inventory, localDataCentre, links, lookupSettings, clock);
  }

  private boolean declaresLocalDataCentre(Inventory candidate) {
    return candidate.dataCentres().stream()
        .anyMatch(dataCentre -> dataCentre.name().equals(localDataCentre));
  }
}
