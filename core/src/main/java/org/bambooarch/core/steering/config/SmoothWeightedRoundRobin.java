package org.bambooarch.core.steering.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Splits a route's requests among its services by smooth weighted round robin, so that any run of
 * consecutive requests is split nearly in proportion to the weights.
 *
 * <p>With each request, every service gains credit equal to its weight. The service with the most
 * credit gets the request and pays the sum of all weights. A request for which its service has no
 * capacity is not moved to another service.
 *
 * <p>Not thread-safe.
 */
public final class SmoothWeightedRoundRobin {

  private final Map<String, Map<String, Double>> creditByRoute = new HashMap<>();

  /** Returns the service for the next request of a route; services of weight zero get none. */
  public String next(ServiceRoute route) {
    List<WeightedService> services = route.services();
    if (services.size() == 1) {
      return services.getFirst().service();
    }
    Map<String, Double> credit = creditByRoute.computeIfAbsent(route.name(), n -> new HashMap<>());
    double totalWeight = 0;
    WeightedService best = services.getFirst();
    for (WeightedService candidate : services) {
      credit.merge(candidate.service(), candidate.weight(), Double::sum);
      totalWeight += candidate.weight();
      if (candidate.weight() > 0 && credit.get(candidate.service()) > creditOf(credit, best)) {
        best = candidate;
      }
    }
    credit.merge(best.service(), -totalWeight, Double::sum);
    return best.service();
  }

  private static double creditOf(Map<String, Double> credit, WeightedService service) {
    return service.weight() > 0 ? credit.get(service.service()) : Double.NEGATIVE_INFINITY;
  }
}
