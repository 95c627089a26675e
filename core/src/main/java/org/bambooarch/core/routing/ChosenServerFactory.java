package org.bambooarch.core.routing;

import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.link.LinkBudget;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.routing.internal.ServerPool;
import org.bambooarch.core.routing.internal.TargetState;

/**
 * Builds the results of a choice ahead, one for each route and server, so that none is allocated.
 */
final class ChosenServerFactory {

  private ChosenServerFactory() {}

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
      int routeRow,
      int poolRow) {
    int service = table.serviceOfRoute(routeRow);
    ServerPool pool = state.pools[service][poolRow];
    Route route = table.route(routeRow);
    LinkBudget answerLink =
        pool.remote() ? links.find(pool.region(), table.localRegion()).orElse(null) : null;
    for (int server : pool.servers()) {
      chosen[server] =
          new ChosenServer(
              server,
              table.servers().get(server),
              state.serverCounters[server],
              state.poolCounters[service][poolRow],
              answerLink,
              route.expectedAnswerBytes());
    }
  }
}
