package org.bambooarch.core.steering.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SmoothWeightedRoundRobinTest {

  private final SmoothWeightedRoundRobin roundRobin = new SmoothWeightedRoundRobin();

  private Map<String, Integer> count(int requests, WeightedService... services) {
    ServiceRoute route = route(List.of(services));
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < requests; i++) {
      counts.merge(roundRobin.next(route), 1, Integer::sum);
    }
    return counts;
  }

  private static ServiceRoute route(List<WeightedService> services) {
    return new ServiceRoute(
        "orders", "shop", "/", true, 1, 1, 1, 0, true, false, HomeRegions.ALL, services);
  }

  @Test
  void should_split_requests_exactly_by_weight_when_a_hundred_are_sent() {
    Map<String, Integer> counts =
        count(100, new WeightedService("old", 90), new WeightedService("new", 10));

    assertThat(counts).containsExactlyInAnyOrderEntriesOf(Map.of("old", 90, "new", 10));
  }

  @Test
  void should_send_nothing_to_a_service_when_its_weight_is_zero() {
    assertThat(count(50, new WeightedService("off", 0), new WeightedService("on", 3)))
        .containsOnlyKeys("on");
  }

  @Test
  void should_apply_new_weights_at_once_when_the_configuration_changes() {
    count(50, new WeightedService("old", 100), new WeightedService("new", 0));
    Map<String, Integer> counts =
        count(100, new WeightedService("old", 20), new WeightedService("new", 80));

    assertThat(counts.get("new")).isCloseTo(80, within(2));
  }
}
