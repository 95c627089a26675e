package org.bambooarch.inventory;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.inventory.ClientBlock;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.inventory.Service;
import org.bambooarch.inventory.internal.diff.RecordListDiff;

/**
 * Describes the difference between two inventories as human-readable lines.
 *
 * <p>A line starts with {@code +} for an added entry, {@code -} for a removed one and {@code ~} for
 * a changed one:
 *
 * <pre>
 * + customer onam-pop-up: requestsPerSecond=20.0 burstRequests=40
 * ~ server catalogue-kochi-a-1: slots 4 -> 6
 * - drain REGION tvm
 * </pre>
 */
public final class InventoryDiff {

  private InventoryDiff() {}

  /**
   * Returns one line for each entry that was removed, added or changed between {@code from} and
   * {@code to}; empty if they have the same entries, also in another order.
   */
  public static List<String> between(Inventory from, Inventory to) {
    List<String> lines = new ArrayList<>();
    RecordListDiff.of("region", Region::name).compare(from.regions(), to.regions(), lines);
    RecordListDiff.of("data centre", DataCentre::name)
        .compare(from.dataCentres(), to.dataCentres(), lines);
    RecordListDiff.of("link", InventoryDiff::linkName).compare(from.links(), to.links(), lines);
    RecordListDiff.of("service", Service::name)
        .compare(servicesWithoutRoutes(from), servicesWithoutRoutes(to), lines);
    RecordListDiff.of("route", NamedRoute::fullName)
        .compare(namedRoutes(from), namedRoutes(to), lines);
    RecordListDiff.of("server", Server::name).compare(from.servers(), to.servers(), lines);
    RecordListDiff.of("customer", Customer::name).compare(from.customers(), to.customers(), lines);
    RecordListDiff.of("client block", ClientBlock::cidr)
        .compare(from.clientBlocks(), to.clientBlocks(), lines);
    RecordListDiff.of("drain", InventoryDiff::drainName).compare(from.drains(), to.drains(), lines);
    return lines;
  }

  private static String linkName(Link link) {
    return link.fromRegion() + " -> " + link.toRegion();
  }

  private static String drainName(DrainRule rule) {
    return rule.kind() + " " + rule.name();
  }

  /** Removes the routes, which are compared as a list of their own. */
  private static List<Service> servicesWithoutRoutes(Inventory inventory) {
    return inventory.services().stream()
        .map(service -> new Service(service.name(), List.of()))
        .toList();
  }

  private static List<NamedRoute> namedRoutes(Inventory inventory) {
    List<NamedRoute> namedRoutes = new ArrayList<>();
    for (Service service : inventory.services()) {
      for (Route route : service.routes()) {
        namedRoutes.add(new NamedRoute(service.name() + "/" + route.name(), route));
      }
    }
    return namedRoutes;
  }

  private record NamedRoute(String fullName, Route route) {}
}
