package org.bambooarch.core.steering.config;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The regions that may serve a request according to its route and its customer.
 *
 * @param regions the regions; empty if all may, or if {@code excludesAll}
 * @param excludesAll whether the route and the customer allow no region in common, so that none may
 */
public record HomeRegions(Set<String> regions, boolean excludesAll) {

  /** Makes an unmodifiable copy of the set. */
  public HomeRegions {
    regions = Set.copyOf(regions);
  }

  /** Returns the regions that the route and, if there is one, the customer both allow. */
  public static HomeRegions of(ServiceRoute route, Optional<CustomerPolicy> customer) {
    Set<String> ofCustomer = customer.map(CustomerPolicy::homeRegions).orElse(Set.of());
    if (route.homeRegions().isEmpty() || ofCustomer.isEmpty()) {
      return new HomeRegions(
          route.homeRegions().isEmpty() ? ofCustomer : route.homeRegions(), false);
    }
    Set<String> common = new HashSet<>(route.homeRegions());
    common.retainAll(ofCustomer);
    return new HomeRegions(common, common.isEmpty());
  }
}
