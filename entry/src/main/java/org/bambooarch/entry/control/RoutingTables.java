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
 * Holds the target chooser and the look-up tables, rebuilt when the configuration or the list of
 * instances changes.
 *
 * <p>The control thread calls {@link #update} and {@link #tick}; request threads read {@link
 * #chooser()} and {@link #lookups()}.
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

  /** Creates tables without servers and instances. */
  public RoutingTables(String localDataCentre, LookupSettings lookupSettings, Clock clock) {
    this.localDataCentre = localDataCentre;
    this.lookupSettings = lookupSettings;
    this.clock = clock;
    this.links = LinkBudgets.equalShares(inventory, 1, clock);
    this.chooser = TargetChooser.create(TargetTable.from(inventory, localDataCentre), links, clock);
    this.lookups = newLookups();
  }

  /** Returns the chooser of target servers for the configuration in force. */
  public TargetChooser chooser() {
    return chooser;
  }

  /** Returns the look-up tables for the configuration in force. */
  public LookupTables lookups() {
    return lookups;
  }

  /**
   * Applies a configuration and a list of instances; each instance gets an equal share of the
   * links' capacity. An inventory that does not declare the data centre of this instance is
   * ignored.
   */
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

  /** Runs the periodic work of the chooser and of the look-up tables. */
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
