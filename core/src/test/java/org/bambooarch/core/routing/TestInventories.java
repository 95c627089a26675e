package org.bambooarch.core.routing;

import java.util.ArrayList;
import java.util.List;
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
 * Inventories for tests: three regions with two data centres each, and one service with two servers
 * of five slots in each data centre.
 */
final class TestInventories {

  static final long CAP_BYTES_PER_SECOND = 35_000_000L;
  private static final List<String> REGIONS = List.of("kochi", "tvm", "kozhikode");

  private TestInventories() {}

  static Inventory small(DrainRule... drains) {
    List<Region> regions = new ArrayList<>();
    List<DataCentre> dataCentres = new ArrayList<>();
    List<Link> links = new ArrayList<>();
    List<Server> servers = new ArrayList<>();
    for (String region : REGIONS) {
      regions.add(new Region(region));
      for (String other : REGIONS) {
        if (!other.equals(region)) {
          links.add(new Link(region, other, CAP_BYTES_PER_SECOND, 55_000));
        }
      }
      for (String suffix : List.of("a", "b")) {
        String dataCentre = region + "-" + suffix;
        dataCentres.add(new DataCentre(dataCentre, region));
        for (int n = 1; n <= 2; n++) {
          String name = "catalogue-" + dataCentre + "-" + n;
          servers.add(new Server(name, "catalogue", dataCentre, "127.0.0.1", 9000 + n, 5, 360));
        }
      }
    }
    Service service =
        new Service(
            "catalogue",
            List.of(
                route("order", "POST", PriorityClass.COUNTER, 2_000),
                route("browse", "GET", PriorityClass.BROWSE, 20_000),
                route("lookbook", "GET", PriorityClass.BULK, 2_000_000)));
    return new Inventory(
        regions,
        dataCentres,
        links,
        List.of(service),
        servers,
        List.of(),
        List.of(),
        List.of(drains));
  }

  private static Route route(String name, String method, PriorityClass priority, long answerBytes) {
    return new Route(
        name, method, "/" + name, method.equals("GET"), priority, answerBytes, 5_000, false);
  }
}
