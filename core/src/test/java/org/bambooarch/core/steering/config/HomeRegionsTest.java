package org.bambooarch.core.steering.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class HomeRegionsTest {

  private static HomeRegions of(Set<String> ofRoute, Set<String> ofCustomer) {
    ServiceRoute route =
        new ServiceRoute(
            "r",
            "h",
            "/p/",
            true,
            1,
            1,
            1,
            0,
            false,
            false,
            ofRoute,
            List.of(new WeightedService("s", 1)));
    CustomerPolicy customer = new CustomerPolicy("c", Set.of(), 0, 0, 0, ofCustomer);
    return HomeRegions.of(route, Optional.of(customer));
  }

  @Test
  void should_allow_all_regions_when_neither_route_nor_customer_has_home_regions() {
    assertThat(of(Set.of(), Set.of())).isEqualTo(new HomeRegions(Set.of(), false));
  }

  @Test
  void should_allow_only_the_home_regions_when_either_route_or_customer_has_some() {
    assertThat(of(Set.of("a"), Set.of()).regions()).containsExactly("a");
    assertThat(of(Set.of(), Set.of("b")).regions()).containsExactly("b");
  }

  @Test
  void should_allow_only_common_regions_when_both_route_and_customer_have_home_regions() {
    assertThat(of(Set.of("a"), Set.of("b")).excludesAll()).isTrue();
    assertThat(of(Set.of("a", "c"), Set.of("b", "c")))
        .isEqualTo(new HomeRegions(Set.of("c"), false));
  }
}
