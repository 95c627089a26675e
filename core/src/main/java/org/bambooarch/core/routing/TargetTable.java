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
 * The services, routes and servers of an inventory, each with an index, as seen from one data
 * centre. Immutable.
 *
 * <pre>{@code
 * TargetTable table = TargetTable.from(inventory, "kochi-a");
 * int route = table.routeIndex("catalogue", "browse");
 * }</pre>
 */
public final class TargetTable {

  /** Returned by {@link #routeIndex} for a route that is not declared. */
  public static final int NO_ROUTE = -1;

  private static final long NANOS_PER_MICRO = 1_000L;

  /** Round trip that is assumed between two data centres of one region. */
  private static final long SAME_REGION_ROUND_TRIP_NANOS = 2_000_000L;

  /** Stands for the round trip to a region that no declared link leads to. */
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
   * Returns the table of an inventory for an instance in the given data centre.
   *
   * <p>Servers in a region to which no link from this instance's region is declared are left out of
   * the pools, because the link has no byte budget. An instance whose data centre is not declared
   * can therefore choose no server.
   */
  public static TargetTable from(Inventory inventory, String localDataCentre) {
    return new TargetTable(inventory, localDataCentre);
  }

  /** Returns the index of a route, or {@link #NO_ROUTE} if it is not declared. */
  public int routeIndex(String service, String route) {
    for (int index = 0; index < routes.size(); index++) {
      String owningService = inventory.services().get(serviceOfRoute.get(index)).name();
      if (owningService.equals(service) && routes.get(index).name().equals(route)) {
        return index;
      }
    }
    return NO_ROUTE;
  }

  /** Returns the number of routes of all services together. */
  public int routeCount() {
    return routes.size();
  }

  /** Returns the route with the given index, from 0 to {@link #routeCount()} - 1. */
  public Route route(int index) {
    return routes.get(index);
  }

  /** Returns the index of the service that the route with the given index belongs to. */
  public int serviceOfRoute(int index) {
    return serviceOfRoute.get(index);
  }

  /** Returns the service with the given index, as in the inventory's list of services. */
  public Service service(int index) {
    return inventory.services().get(index);
  }

  /** Returns all servers; the position in the list is the index of a server. */
  public List<Server> servers() {
    return servers;
  }

  /** Returns the name of the data centre that the table is seen from: this instance's own. */
  public String localDataCentre() {
    return localDataCentre;
  }

  /** Returns the region of this instance, or an empty string if its data centre is not declared. */
  public String localRegion() {
    return localRegion;
  }

  /** Returns the region of a server, or an empty string if its data centre is not declared. */
  public String regionOf(Server server) {
    return regionOfDataCentre.getOrDefault(server.dataCentre(), "");
  }

  /** Returns the pools by index of the service; the local region first, the others by distance. */
  ServerPool[][] pools() {
    return pools;
  }

  /** Returns whether a drain rule covers the server with the given index. */
  boolean drained(int server) {
    return drained[server];
  }

  /** Returns the network round trip to a server, 0 inside this instance's data centre. */
  long roundTripNanos(int server) {
    Server target = servers.get(server);
    if (target.dataCentre().equals(localDataCentre)) {
      return 0;
    }
    String region = regionOf(target);
    return region.equals(localRegion)
        ? SAME_REGION_ROUND_TRIP_NANOS
        : roundTripToRegionNanos(region);
  }

  private void addService(int index) {
    Service service = inventory.services().get(index);
    for (Route route : service.routes()) {
      routes.add(route);
      serviceOfRoute.add(index);
    }
    Map<String, List<Integer>> serversByRegion = new HashMap<>();
    for (int server = 0; server < servers.size(); server++) {
      if (servers.get(server).service().equals(service.name())) {
        String region = regionOf(servers.get(server));
        serversByRegion.computeIfAbsent(region, r -> new ArrayList<>()).add(server);
      }
    }
    pools[index] =
        serversByRegion.entrySet().stream()
            .map(entry -> pool(entry.getKey(), entry.getValue()))
            .filter(pool -> !pool.remote() || roundTripToRegionNanos(pool.region()) != UNLINKED)
            .sorted(
                Comparator.comparing(ServerPool::remote)
                    .thenComparingLong(pool -> roundTripToRegionNanos(pool.region()))
                    .thenComparing(ServerPool::region))
            .toArray(ServerPool[]::new);
  }

  private ServerPool pool(String region, List<Integer> indexes) {
    int[] servers = indexes.stream().mapToInt(Integer::intValue).toArray();
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
