package org.bambooarch.inventory.internal.read;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bambooarch.core.inventory.ClientBlock;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.inventory.Service;
import org.bambooarch.inventory.Location;

/** The entries that were read so far, each with its location; not validated yet. */
public final class InventoryDraft {

  private final List<Located<Region>> regions = new ArrayList<>();
  private final List<Located<DataCentre>> dataCentres = new ArrayList<>();
  private final List<Located<Link>> links = new ArrayList<>();
  private final List<Located<Service>> services = new ArrayList<>();
  private final List<Located<Server>> servers = new ArrayList<>();
  private final List<Located<Customer>> customers = new ArrayList<>();
  private final List<Located<ClientBlock>> clientBlocks = new ArrayList<>();
  private final List<Located<DrainRule>> drains = new ArrayList<>();
  private final Map<Location, String> declaredOuterBlocks = new HashMap<>();

  /** Returns the mutable list of regions, to which readers append. */
  public List<Located<Region>> regions() {
    return regions;
  }

  /** Returns the mutable list of data centres, to which readers append. */
  public List<Located<DataCentre>> dataCentres() {
    return dataCentres;
  }

  /** Returns the mutable list of links, to which readers append. */
  public List<Located<Link>> links() {
    return links;
  }

  /** Returns the mutable list of services, to which readers append. */
  public List<Located<Service>> services() {
    return services;
  }

  /** Returns the mutable list of servers, to which readers append. */
  public List<Located<Server>> servers() {
    return servers;
  }

  /** Returns the mutable list of customers, to which readers append. */
  public List<Located<Customer>> customers() {
    return customers;
  }

  /** Returns the mutable list of client blocks, to which readers append. */
  public List<Located<ClientBlock>> clientBlocks() {
    return clientBlocks;
  }

  /** Returns the mutable list of drain rules, to which readers append. */
  public List<Located<DrainRule>> drains() {
    return drains;
  }

  /**
   * Returns, by location of a client block, the enclosing block that it names as {@code
   * exceptionTo}; blocks without that field have no entry. To be read or extended.
   */
  public Map<Location, String> declaredOuterBlocks() {
    return declaredOuterBlocks;
  }

  /** Returns the entries without their locations; call it only if there are no findings. */
  public Inventory toInventory() {
    return new Inventory(
        withoutLocations(regions),
        withoutLocations(dataCentres),
        withoutLocations(links),
        withoutLocations(services),
        withoutLocations(servers),
        withoutLocations(customers),
        withoutLocations(clientBlocks),
        withoutLocations(drains));
  }

  private static <T> List<T> withoutLocations(List<Located<T>> entries) {
    return entries.stream().map(Located::value).toList();
  }
}
