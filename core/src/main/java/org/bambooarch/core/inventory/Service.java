package org.bambooarch.core.inventory;

import java.util.List;

/**
 * A service that callers reach through the entry instances.
 *
 * @param name unique name, such as {@code catalogue}
 * @param routes its routes, matched by longest path prefix
 */
public record Service(String name, List<Route> routes) {

  /** Copies the routes. */
  public Service {
    routes = List.copyOf(routes);
  }
}
