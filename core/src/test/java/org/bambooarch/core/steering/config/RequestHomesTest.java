package org.bambooarch.core.steering.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

// Issue 53 (HOME): a request kept the homes of the version that admitted it for its whole life.
class RequestHomesTest {

  private static ServiceRoute route(String name, HomeRegions homes) {
    return new ServiceRoute(
        name,
        "shop.example",
        "/" + name + "/",
        true,
        5_000,
        500,
        3,
        0,
        false,
        false,
        homes,
        List.of(new WeightedService("shop", 1)));
  }

  private static CustomerPolicy customer(String name, HomeRegions homes) {
    return new CustomerPolicy(name, Set.of("digest-of-" + name), 0, 0, 0, homes);
  }

  private static SteeringConfig config(List<ServiceRoute> routes, List<CustomerPolicy> customers) {
    return new SteeringConfig(
        2, routes, List.of(), customers, new CallerLimits(16_384, 1 << 20, 3_000, 15_000));
  }

  private static HomeRegions only(String... regions) {
    return new HomeRegions.Only(Set.of(regions));
  }

  private final ServiceRoute admittedRoute = route("books", only("north"));
  private final Optional<CustomerPolicy> admittedCustomer =
      Optional.of(customer("kerala", only("north")));

  @Test
  void should_go_by_the_newer_homes_when_the_route_and_the_customer_are_configured_anew() {
    SteeringConfig newer =
        config(
            List.of(route("books", only("south", "west"))),
            List.of(customer("kerala", only("west", "east"))));

    assertThat(newer.homeRegionsOf(admittedRoute, admittedCustomer)).isEqualTo(only("west"));
    assertThat(newer.homeRegionsOf(admittedRoute, Optional.empty()))
        .isEqualTo(only("south", "west"));
  }

  @Test
  void should_permit_no_region_when_the_newer_homes_have_none_in_common() {
    SteeringConfig newer =
        config(List.of(route("books", only("south"))), List.of(customer("kerala", only("east"))));

    HomeRegions homes = newer.homeRegionsOf(admittedRoute, admittedCustomer);

    assertThat(homes).isEqualTo(only());
    assertThat(homes.permits("north")).isFalse();
  }

  @Test
  void should_permit_all_regions_when_the_newer_route_and_customer_have_no_homes() {
    SteeringConfig newer =
        config(
            List.of(route("books", HomeRegions.ALL)), List.of(customer("kerala", HomeRegions.ALL)));

    assertThat(newer.homeRegionsOf(admittedRoute, admittedCustomer)).isEqualTo(HomeRegions.ALL);
  }

  @Test
  void should_keep_the_homes_of_a_route_and_a_customer_when_they_are_configured_no_longer() {
    SteeringConfig newer =
        config(List.of(route("music", only("south"))), List.of(customer("goa", only("south"))));

    assertThat(newer.homeRegionsOf(admittedRoute, Optional.empty())).isEqualTo(only("north"));
    assertThat(newer.homeRegionsOf(route("music", only("west")), admittedCustomer))
        .isEqualTo(only());
  }

  @Test
  void should_find_the_homes_by_host_path_and_customer_when_another_instance_admitted_a_request() {
    SteeringConfig config =
        config(
            List.of(route("books", only("south", "west"))),
            List.of(customer("kerala", only("west", "east"))));

    assertThat(config.homeRegionsOf("Shop.example:80", "/books/1", Optional.of("kerala")))
        .isEqualTo(only("west"));
    assertThat(config.homeRegionsOf("shop.example", "/books/1", Optional.of("goa")))
        .isEqualTo(only("south", "west"));
    assertThat(config.homeRegionsOf("shop.example", "/music/1", Optional.of("kerala")))
        .isEqualTo(only("west", "east"));
    assertThat(config.homeRegionsOf("shop.example", "/music/1", Optional.empty()))
        .isEqualTo(HomeRegions.ALL);
  }
}
