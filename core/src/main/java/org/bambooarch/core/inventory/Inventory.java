package org.bambooarch.core.inventory;

import java.util.List;

/**
 * Everything that operators declare: places, services, servers, customers and rules.
 *
 * <p>The lists are tables: an entity is found by its name, and systems run over whole lists.
 *
 * @param regions all regions
 * @param dataCentres all data centres
 * @param links one entry for each direction of each region pair
 * @param services all services with their routes
 * @param servers all target servers
 * @param customers all customers
 * @param clientBlocks address blocks of callers
 * @param drains rules that take places, servers or instances out of use
 */
public record Inventory(
    List<Region> regions,
    List<DataCentre> dataCentres,
    List<Link> links,
    List<Service> services,
    List<Server> servers,
    List<Customer> customers,
    List<ClientBlock> clientBlocks,
    List<DrainRule> drains) {

  /** Copies all lists. */
  public Inventory {
    regions = List.copyOf(regions);
    dataCentres = List.copyOf(dataCentres);
    links = List.copyOf(links);
    services = List.copyOf(services);
    servers = List.copyOf(servers);
    customers = List.copyOf(customers);
    clientBlocks = List.copyOf(clientBlocks);
    drains = List.copyOf(drains);
  }

  /** Returns an inventory with no entries, the state before the first apply. */
  public static Inventory empty() {
    return new Inventory(
        List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
  }
}
