package org.bambooarch.core.steering.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class HomeRegionsTest {

  private static HomeRegions of(Set<String> ofRoute, Set<String> ofCustomer) {
    return HomeRegions.ofListed(ofRoute).and(HomeRegions.ofListed(ofCustomer));
  }

  @Test
  void should_permit_all_regions_when_neither_route_nor_customer_has_home_regions() {
    assertThat(of(Set.of(), Set.of())).isEqualTo(HomeRegions.ALL);
    assertThat(HomeRegions.ALL.permits("anywhere")).isTrue();
  }

  @Test
  void should_permit_only_the_home_regions_when_either_route_or_customer_has_some() {
    assertThat(of(Set.of("a"), Set.of())).isEqualTo(new HomeRegions.Only(Set.of("a")));
    assertThat(of(Set.of(), Set.of("b"))).isEqualTo(new HomeRegions.Only(Set.of("b")));
    assertThat(of(Set.of("a"), Set.of()).permits("a")).isTrue();
    assertThat(of(Set.of("a"), Set.of()).permits("b")).isFalse();
  }

  @Test
  void should_permit_only_common_regions_when_both_route_and_customer_have_home_regions() {
    assertThat(of(Set.of("a", "c"), Set.of("b", "c"))).isEqualTo(new HomeRegions.Only(Set.of("c")));
  }

  // An empty set of regions must not read like "all regions".
  @Test
  void should_permit_no_region_when_route_and_customer_have_none_in_common() {
    HomeRegions none = of(Set.of("a"), Set.of("b"));

    assertThat(none.permits("a")).isFalse();
    assertThat(none.permits("b")).isFalse();
    assertThat(none.and(HomeRegions.ALL).permits("a")).isFalse();
    assertThat(HomeRegions.ALL.and(none).permits("a")).isFalse();
  }
}
