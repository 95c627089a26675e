package org.bambooarch.core.steering.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class HomeRegionsOfHostTest {

  private static final String HOST = "shop.example";

  private static HomeRegions homeRegionsOf(String asked, ServiceRoute... routes) {
    SteeringConfig config =
        new SteeringConfig(
            1, Arrays.asList(routes), List.of(), List.of(), new CallerLimits(1, 1, 1, 1));
    return config.homeRegionsOfHost(asked);
  }

  private static ServiceRoute route(String host, String path, String... homes) {
    return new ServiceRoute(
        path,
        host,
        path,
        true,
        1,
        1,
        1,
        0,
        true,
        false,
        HomeRegions.ofListed(Arrays.asList(homes)),
        List.of(new WeightedService("shop", 1)));
  }

  @Test
  void should_permit_what_all_routes_with_homes_have_in_common_when_a_host_has_several() {
    HomeRegions homes =
        homeRegionsOf(
            HOST,
            route(HOST, "/a/", "north", "south"),
            route(HOST, "/b/"),
            route(HOST, "/c/", "south", "west"),
            route("other.example", "/", "west"));

    assertThat(homes).isEqualTo(new HomeRegions.Only(Set.of("south")));
  }

  // An empty set of common regions must not read like "all regions".
  @Test
  void should_permit_no_region_when_the_routes_of_a_host_have_none_in_common() {
    HomeRegions homes =
        homeRegionsOf(HOST, route(HOST, "/a/", "north"), route(HOST, "/b/", "south"));

    assertThat(homes).isEqualTo(new HomeRegions.Only(Set.of()));
  }

  @Test
  void should_permit_all_regions_when_a_host_has_no_homes_or_is_not_configured() {
    assertThat(homeRegionsOf(HOST, route(HOST, "/a/"))).isEqualTo(HomeRegions.ALL);
    assertThat(homeRegionsOf("other.example", route(HOST, "/a/", "north")))
        .isEqualTo(HomeRegions.ALL);
  }

  @Test
  void should_find_the_homes_when_the_host_is_asked_for_in_upper_case_and_with_a_port() {
    assertThat(homeRegionsOf("Shop.Example:8443", route(HOST, "/a/", "north")))
        .isEqualTo(new HomeRegions.Only(Set.of("north")));
  }
}
