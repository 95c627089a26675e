package org.bambooarch.entry.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Service;

/** Routes of all services, matched by method and longest path prefix. */
public final class RouteTable {

  private final List<RouteMatch> longestPrefixFirst;

  private RouteTable(List<RouteMatch> longestPrefixFirst) {
    this.longestPrefixFirst = longestPrefixFirst;
  }

  /**
   * A route and the service that owns it.
   *
   * @param service name of the service
   * @param route the route
   */
  public record RouteMatch(String service, Route route) {}

  /** Returns the routes of an inventory, ready for matching. */
  public static RouteTable of(Inventory inventory) {
    List<RouteMatch> matches = new ArrayList<>();
    for (Service service : inventory.services()) {
      for (Route route : service.routes()) {
        matches.add(new RouteMatch(service.name(), route));
      }
    }
    matches.sort(
        Comparator.comparingInt((RouteMatch match) -> match.route().pathPrefix().length())
            .reversed());
    return new RouteTable(List.copyOf(matches));
  }

  /** Finds the route with the longest prefix that matches at a segment boundary. */
  public Optional<RouteMatch> match(String method, String path) {
    for (RouteMatch match : longestPrefixFirst) {
      if (match.route().method().equals(method) && hasPrefix(path, match.route().pathPrefix())) {
        return Optional.of(match);
      }
    }
    return Optional.empty();
  }

  private static boolean hasPrefix(String path, String prefix) {
    if (!path.startsWith(prefix)) {
      return false;
    }
    return path.length() == prefix.length()
        || prefix.endsWith("/")
        || path.charAt(prefix.length()) == '/';
  }
}
