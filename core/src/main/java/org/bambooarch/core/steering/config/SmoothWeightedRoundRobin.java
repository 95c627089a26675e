package org.bambooarch.core.steering.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Distributes a route's requests among its services, close to the weights over any span.
 *
 * <p>Smooth weighted round robin: each service collects credit by its weight, and the one with the
 * most credit is next. A request that finds no room at its service is not moved to another one.
 *
 * <p>Not thread-safe.
 */
public final class SmoothWeightedRoundRobin {

  private final Map<String, Map<String, Double>> creditByRoute = new HashMap<>();

  /** Returns the service of the next request of a route. */
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
