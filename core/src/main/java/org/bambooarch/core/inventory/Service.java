package org.bambooarch.core.inventory;

import java.util.List;

/**
 * A service that callers reach through the entry instances.
 *
 * @param name unique name, such as {@code catalogue}
 * @param routes routes of the service; the one with the longest matching path prefix applies
 */
public record Service(String name, List<Route> routes) {

  /** Makes an unmodifiable copy of the routes. */
  public Service {
    routes = List.copyOf(routes);
  }
}
