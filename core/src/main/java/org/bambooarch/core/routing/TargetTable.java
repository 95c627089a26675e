package org.bambooarch.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.inventory.Service;
import org.bambooarch.core.routing.internal.ServerPool;

/**
 * The services, routes and servers of an inventory, in rows, as seen from one data centre.
 *
 * <pre>{@code
 * TargetTable table = TargetTable.from(inventory, "kochi-a");
 * int route = table.routeIndex("catalogue", "browse");
 * }</pre>
 */
public final class TargetTable {

  /** Index that stands for a route that is not declared. */
  public static final int NO_ROUTE = -1;

  private static final long NANOS_PER_MICRO = 1_000L;

  /** Round trip between two data centres of one region. */
  private static final long SAME_REGION_ROUND_TRIP_NANOS = 2_000_000L;

  private static final long UNLINKED = Long.MAX_VALUE;

  private final Inventory inventory;
  private final String localDataCentre;
  private final String localRegion;
  private final Map<String, String> regionOfDataCentre = new HashMap<>();
  private final List<Server> servers;
  private final boolean[] drained;
  private final List<Route> routes = new ArrayList<>();
  private final List<Integer> serviceOfRoute = new ArrayList<>();
  private final ServerPool[][] pools;

  private TargetTable(Inventory inventory, String localDataCentre) {
    this.inventory = inventory;
    this.localDataCentre = localDataCentre;
    for (DataCentre dataCentre : inventory.dataCentres()) {
      regionOfDataCentre.put(dataCentre.name(), dataCentre.region());
    }
    this.localRegion = regionOfDataCentre.getOrDefault(localDataCentre, "");
    this.servers = inventory.servers();
    this.drained = new boolean[servers.size()];
    for (int server = 0; server < drained.length; server++) {
      drained[server] = isDrained(servers.get(server));
    }
    this.pools = new ServerPool[inventory.services().size()][];
    for (int service = 0; service < pools.length; service++) {
      addService(service);
    }
  }

  /**
   * Returns the table of an inventory.
   *
   * <p>A region that no declared link joins to this instance's region is left out, because no byte
   * budget exists for it; an instance whose data centre is not declared therefore has no servers.
   */
  public static TargetTable from(Inventory inventory, String localDataCentre) {
    return new TargetTable(inventory, localDataCentre);
  }

  /** Returns the row of a route, or {@link #NO_ROUTE}. */
  public int routeIndex(String service, String route) {
    for (int row = 0; row < routes.size(); row++) {
      String owner = inventory.services().get(serviceOfRoute.get(row)).name();
      if (owner.equals(service) && routes.get(row).name().equals(route)) {
        return row;
      }
    }
    return NO_ROUTE;
  }

  /** Returns the number of routes. */
  public int routeCount() {
    return routes.size();
  }

  /** Returns the route in a row. */
  public Route route(int row) {
    return routes.get(row);
  }

  /** Returns the row of the service that owns a route. */
  public int serviceOfRoute(int row) {
    return serviceOfRoute.get(row);
  }

  /** Returns the service in a row. */
  public Service service(int row) {
    return inventory.services().get(row);
  }

  /** Returns all servers; a server's place in the list is its row. */
  public List<Server> servers() {
    return servers;
  }

  /** Returns the name of this instance's data centre. */
  public String localDataCentre() {
    return localDataCentre;
  }

  /** Returns the name of this instance's region. */
  public String localRegion() {
    return localRegion;
  }

  /** Returns the region of a server. */
  public String regionOf(Server server) {
    return regionOfDataCentre.getOrDefault(server.dataCentre(), "");
  }

  ServerPool[][] pools() {
    return pools;
  }

  boolean drained(int server) {
    return drained[server];
  }

  long roundTripNanos(int server) {
    Server row = servers.get(server);
    if (row.dataCentre().equals(localDataCentre)) {
      return 0;
    }
    String region = regionOf(row);
    return region.equals(localRegion)
        ? SAME_REGION_ROUND_TRIP_NANOS
        : roundTripToRegionNanos(region);
  }

  private void addService(int row) {
    Service service = inventory.services().get(row);
    for (Route route : service.routes()) {
      routes.add(route);
      serviceOfRoute.add(row);
    }
    Map<String, List<Integer>> rowsByRegion = new HashMap<>();
    for (int server = 0; server < servers.size(); server++) {
      if (servers.get(server).service().equals(service.name())) {
        String region = regionOf(servers.get(server));
        rowsByRegion.computeIfAbsent(region, r -> new ArrayList<>()).add(server);
      }
    }
    pools[row] =
        rowsByRegion.entrySet().stream()
            .map(entry -> pool(entry.getKey(), entry.getValue()))
            .filter(pool -> !pool.remote() || roundTripToRegionNanos(pool.region()) != UNLINKED)
            .sorted(
                Comparator.comparing(ServerPool::remote)
                    .thenComparingLong(pool -> roundTripToRegionNanos(pool.region()))
                    .thenComparing(ServerPool::region))
            .toArray(ServerPool[]::new);
  }

  private ServerPool pool(String region, List<Integer> rows) {
    int[] servers = rows.stream().mapToInt(Integer::intValue).toArray();
    return new ServerPool(region, !region.equals(localRegion), servers);
  }

  private long roundTripToRegionNanos(String region) {
    for (Link link : inventory.links()) {
      if (link.fromRegion().equals(localRegion) && link.toRegion().equals(region)) {
        return 2 * link.delayMicros() * NANOS_PER_MICRO;
      }
    }
    return UNLINKED;
  }

  private boolean isDrained(Server server) {
    for (DrainRule rule : inventory.drains()) {
      boolean covers =
          switch (rule.kind()) {
            case REGION -> rule.name().equals(regionOf(server));
            case DATA_CENTRE -> rule.name().equals(server.dataCentre());
            case SERVER -> rule.name().equals(server.name());
            case INSTANCE -> false;
          };
      if (covers) {
        return true;
      }
    }
    return false;
  }
}
