package org.bambooarch.inventory.internal.check;

import static org.bambooarch.inventory.error.NameErrors.missingRequiredEntry;
import static org.bambooarch.inventory.error.ValueErrors.notNormalizedPath;
import static org.bambooarch.inventory.error.ValueErrors.notOneOf;

import java.util.List;
import java.util.regex.Pattern;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Service;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.Location;
import org.bambooarch.inventory.internal.read.InventoryDraft;
import org.bambooarch.inventory.internal.read.Located;

/**
 * Checks that every service has routes, that routes have known methods and normalized path
 * prefixes, and that no two routes of all services have the same method and path prefix.
 */
final class RouteCheck implements Check {

  private static final List<String> METHODS =
      List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
  private static final Pattern NORMALIZED_PATH =
      Pattern.compile("(/[A-Za-z0-9._~!$&'()*+,;=:@-]+)+");
  private static final Pattern DOT_SEGMENT = Pattern.compile(".*/\\.\\.?(/.*)?");

  @Override
  public void run(InventoryDraft draft, Findings findings) {
    UniqueValues uniqueMatches = new UniqueValues("method and path across all services", findings);
    for (Located<Service> service : draft.services()) {
      Location location = service.location().child("routes");
      List<Route> routes = service.value().routes();
      if (routes.isEmpty()) {
        findings.add(missingRequiredEntry(location, "service", service.value().name(), "route"));
      }
      int index = 0;
      for (Route route : routes) {
        checkRoute(route, location.child(index), uniqueMatches, findings);
        index++;
      }
    }
  }

  private static void checkRoute(
      Route route, Location location, UniqueValues uniqueMatches, Findings findings) {
    String method = route.method();
    if (!method.isEmpty() && !METHODS.contains(method)) {
      findings.add(notOneOf(location.child("method"), METHODS, method));
    }
    String path = route.pathPrefix();
    if (path.isEmpty()) {
      return;
    }
    if (!isNormalizedPath(path)) {
      findings.add(notNormalizedPath(location.child("pathPrefix"), path));
    }
    uniqueMatches.add(method + " " + path, location.child("pathPrefix"));
  }

  private static boolean isNormalizedPath(String path) {
    if (path.equals("/")) {
      return true;
    }
    return NORMALIZED_PATH.matcher(path).matches() && !DOT_SEGMENT.matcher(path).matches();
  }
}
