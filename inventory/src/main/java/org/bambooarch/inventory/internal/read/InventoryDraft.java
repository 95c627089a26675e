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

/** The rows that were read so far, each with its place; not validated yet. */
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

  /** Returns the regions, to be read or extended. */
  public List<Located<Region>> regions() {
    return regions;
  }

  /** Returns the data centres, to be read or extended. */
  public List<Located<DataCentre>> dataCentres() {
    return dataCentres;
  }

  /** Returns the links, to be read or extended. */
  public List<Located<Link>> links() {
    return links;
  }

  /** Returns the services, to be read or extended. */
  public List<Located<Service>> services() {
    return services;
  }

  /** Returns the servers, to be read or extended. */
  public List<Located<Server>> servers() {
    return servers;
  }

  /** Returns the customers, to be read or extended. */
  public List<Located<Customer>> customers() {
    return customers;
  }

  /** Returns the client blocks, to be read or extended. */
  public List<Located<ClientBlock>> clientBlocks() {
    return clientBlocks;
  }

  /** Returns the drain rules, to be read or extended. */
  public List<Located<DrainRule>> drains() {
    return drains;
  }

  /** Returns, by place of a client block, the wider block that it names as its exception. */
  public Map<Location, String> declaredOuterBlocks() {
    return declaredOuterBlocks;
  }

  /** Returns the rows without their places. */
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
