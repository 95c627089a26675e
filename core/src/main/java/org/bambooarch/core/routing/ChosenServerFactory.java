package org.bambooarch.core.routing;

import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.link.LinkBudget;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.routing.internal.ServerPool;
import org.bambooarch.core.routing.internal.TargetState;

/**
 * Creates the {@link ChosenServer} of each route and server when the table is built, so that
 * choosing a server for a request allocates nothing.
 */
final class ChosenServerFactory {

  private ChosenServerFactory() {}

  /** Returns the instances by index of the route, then of the server; null where not in a pool. */
  static ChosenServer[][] create(TargetTable table, LinkBudgets links, TargetState state) {
    ChosenServer[][] chosen = new ChosenServer[table.routeCount()][];
    for (int route = 0; route < chosen.length; route++) {
      chosen[route] = new ChosenServer[table.servers().size()];
      int service = table.serviceOfRoute(route);
      for (int pool = 0; pool < state.pools[service].length; pool++) {
        fillPool(chosen[route], table, links, state, route, pool);
      }
    }
    return chosen;
  }

  private static void fillPool(
      ChosenServer[] chosen,
      TargetTable table,
      LinkBudgets links,
      TargetState state,
      int routeIndex,
      int poolIndex) {
    int service = table.serviceOfRoute(routeIndex);
    ServerPool pool = state.pools[service][poolIndex];
    Route route = table.route(routeIndex);
    LinkBudget answerLink =
        pool.remote() ? links.find(pool.region(), table.localRegion()).orElse(null) : null;
    for (int server : pool.servers()) {
      chosen[server] =
          new ChosenServer(
              server,
              table.servers().get(server),
              state.serverCounters[server],
              state.poolCounters[service][poolIndex],
              answerLink,
              route.expectedAnswerBytes());
    }
  }
}
