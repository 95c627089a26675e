package org.bambooarch.core.inventory;

import java.util.List;

/**
 * Everything that operators declare: regions, data centres, links, services, servers, customers,
 * client address blocks and drain rules.
 *
 * <p>Entries refer to each other by name, and most users process whole lists. The lists are
 * immutable.
 *
 * @param regions all regions
 * @param dataCentres all data centres
 * @param links one entry for each direction of a link between two regions
 * @param services all services, with their routes
 * @param servers all target servers
 * @param customers all customers
 * @param clientBlocks address blocks of callers, with the data centre nearest to each
 * @param drains rules that take regions, data centres, servers or instances out of use
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

  /** Makes unmodifiable copies of all lists; fails if one of them is null or contains null. */
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

  /** Returns an inventory with no entries: the state before an operator applies the first one. */
  public static Inventory empty() {
    return new Inventory(
        List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
  }
}
