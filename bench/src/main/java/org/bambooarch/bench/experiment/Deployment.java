package org.bambooarch.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.inventory.Service;

/**
 * The size and the network of one simulated deployment.
 *
 * @param name name used on the command line
 * @param regions names of the regions
 * @param services names of the services
 * @param instances number of entry instances
 * @param minSlots slots of the smallest servers; the others have one or two slots more
 * @param regionDelayMicros one-way delay between regions in microseconds
 * @param clientDelayMicros one-way delay between a caller and an instance of its region in
 *     microseconds
 * @param linkBytesPerSecond cap on the bytes per second between two regions, for each direction
 */
record Deployment(
    String name,
    List<String> regions,
    List<String> services,
    int instances,
    int minSlots,
    long regionDelayMicros,
    long clientDelayMicros,
    long linkBytesPerSecond) {

  static final int SERVERS_PER_SERVICE = 12;
  static final int SLOT_COUNTS = 3;
  static final double[] DEMAND_SHARES = {0.30, 0.25, 0.12, 0.10, 0.08, 0.06, 0.05, 0.04};

  /** A customer's configured rate as a multiple of its demand at peak load. */
  private static final double RATE_OVER_DEMAND = 1.6;

  private static final long BITS_PER_BYTE = 8;

  static Deployment swatchnet() {
    return new Deployment(
        "swatchnet",
        List.of("kochi", "tvm", "kozhikode"),
        List.of("catalogue", "order-desk", "dye-lot-ledger"),
        10,
        4,
        55_000,
        1_000,
        4_000_000_000L / BITS_PER_BYTE);
  }

  static Deployment blueMahoe() {
    return new Deployment(
        "blue-mahoe",
        List.of("kingston", "montego", "mandeville"),
        List.of("code-search", "assignment-ledger", "concordance-reader"),
        9,
        3,
        20_000,
        8_000,
        280_000_000L / BITS_PER_BYTE);
  }

  static List<Deployment> all() {
    return List.of(swatchnet(), blueMahoe());
  }

  /** Returns the data centres: two for each region, in the order of the regions. */
  List<DataCentre> dataCentres() {
    List<DataCentre> all = new ArrayList<>();
    for (String region : regions) {
      all.add(new DataCentre(region + "-a", region));
      all.add(new DataCentre(region + "-b", region));
    }
    return all;
  }

  /** Returns the number of slots of all servers together. */
  int totalSlots() {
    int perService = SERVERS_PER_SERVICE * (minSlots + SLOT_COUNTS / 2);
    return services.size() * perService;
  }

  /** Returns the requests per second, in the ordinary mix, that keep all slots busy. */
  double capacityPerSecond() {
    return totalSlots() / RequestMix.meanServiceSeconds();
  }

  Inventory inventory(double peakLoad, DrainRule... drains) {
    return new Inventory(
        regions.stream().map(Region::new).toList(),
        dataCentres(),
        links(),
        services.stream().map(service -> new Service(service, RequestMix.routes())).toList(),
        servers(),
        customers(peakLoad),
        List.of(),
        List.of(drains));
  }

  private List<Link> links() {
    List<Link> links = new ArrayList<>();
    for (String from : regions) {
      for (String to : regions) {
        if (!from.equals(to)) {
          links.add(new Link(from, to, linkBytesPerSecond, regionDelayMicros));
        }
      }
    }
    return links;
  }

  private List<Server> servers() {
    List<Server> servers = new ArrayList<>();
    List<DataCentre> dataCentres = dataCentres();
    for (String service : services) {
      for (int n = 0; n < SERVERS_PER_SERVICE; n++) {
        String dataCentre = dataCentres.get(n % dataCentres.size()).name();
        int slots = minSlots + n % SLOT_COUNTS;
        String name = service + "-" + dataCentre + "-" + n;
        servers.add(new Server(name, service, dataCentre, "127.0.0.1", 9_000 + n, slots, 360));
      }
    }
    return servers;
  }

  private List<Customer> customers(double peakLoad) {
    List<Customer> customers = new ArrayList<>();
    for (int n = 0; n < DEMAND_SHARES.length; n++) {
      double rate = RATE_OVER_DEMAND * peakLoad * capacityPerSecond() * DEMAND_SHARES[n];
      customers.add(new Customer("customer-" + n, rate, (long) Math.ceil(rate)));
    }
    return customers;
  }

  /** Returns the priority class of a route, by its index inside a service. */
  static PriorityClass priorityClassOf(int route) {
    return RequestMix.routes().get(route).priority();
  }

  /** Returns a route by its index inside a service. */
  static Route routeAt(int route) {
    return RequestMix.routes().get(route);
  }
}
