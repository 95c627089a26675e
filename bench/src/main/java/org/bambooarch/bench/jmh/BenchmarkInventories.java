package org.bambooarch.bench.jmh;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.inventory.Service;

/**
 * Inventories of three regions with two data centres each, three services, and a given number of
 * servers and customers.
 */
final class BenchmarkInventories {

  private static final int REGIONS = 3;
  private static final int SERVICES = 3;
  private static final int DATA_CENTRES = 2 * REGIONS;

  private BenchmarkInventories() {}

  static Inventory inventory(int servers, int customers) {
    List<Region> regions = new ArrayList<>();
    List<DataCentre> dataCentres = new ArrayList<>();
    List<Link> links = new ArrayList<>();
    for (int region = 0; region < REGIONS; region++) {
      regions.add(new Region("r" + region));
      dataCentres.add(new DataCentre("r" + region + "-a", "r" + region));
      dataCentres.add(new DataCentre("r" + region + "-b", "r" + region));
      for (int other = 0; other < REGIONS; other++) {
        if (other != region) {
          links.add(new Link("r" + region, "r" + other, 500_000_000L, 55_000));
        }
      }
    }
    List<Service> services = new ArrayList<>();
    for (int service = 0; service < SERVICES; service++) {
      services.add(new Service("s" + service, List.of(route())));
    }
    return new Inventory(
        regions,
        dataCentres,
        links,
        services,
        servers(servers, dataCentres),
        customers(customers),
        List.of(),
        List.of());
  }

  static List<Customer> customers(int count) {
    List<Customer> rows = new ArrayList<>();
    for (int row = 0; row < count; row++) {
      rows.add(new Customer("c" + row, 100 + row, 100));
    }
    return rows;
  }

  private static List<Server> servers(int count, List<DataCentre> dataCentres) {
    List<Server> rows = new ArrayList<>();
    for (int row = 0; row < count; row++) {
      String dataCentre = dataCentres.get(row / SERVICES % DATA_CENTRES).name();
      rows.add(new Server("t" + row, "s" + row % SERVICES, dataCentre, "127.0.0.1", 9_000, 5, 360));
    }
    return rows;
  }

  private static Route route() {
    return new Route("browse", "GET", "/", true, PriorityClass.COUNTER, 20_000, 3_000, false);
  }
}
