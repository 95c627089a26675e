package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bambooarch.core.steering.config.HomeRegions;
import org.junit.jupiter.api.Test;

class RelayChoiceTest {

  private final List<Heartbeat> heartbeats = new ArrayList<>();

  private void add(String name, String region, boolean takesCallers, boolean partitioned) {
    InstanceIdentity sender =
        new InstanceIdentity(name, 1, region, region + "-a", name + ":80", name + ":90");
    heartbeats.add(
        new Heartbeat(
            sender,
            takesCallers,
            0,
            partitioned,
            1,
            ListVersions.NONE,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            List.of()));
  }

  private Set<String> chosen(Set<String> homeRegions) {
    Set<String> names = new HashSet<>();
    for (long hash = 0; hash < 200; hash++) {
      RelayChoice.choose(heartbeats, "north", HomeRegions.ofListed(homeRegions), hash)
          .ifPresent(instance -> names.add(instance.name()));
    }
    return names;
  }

  @Test
  void should_spread_requests_over_all_instances_of_the_region_when_there_are_some() {
    add("near-1", "north", true, false);
    add("near-2", "north", true, false);
    add("near-3", "north", true, false);
    add("far", "south", true, false);

    assertThat(chosen(Set.of())).containsExactlyInAnyOrder("near-1", "near-2", "near-3");
    assertThat(RelayChoice.choose(heartbeats, "north", HomeRegions.ALL, 7))
        .isEqualTo(RelayChoice.choose(heartbeats.reversed(), "north", HomeRegions.ALL, 7));
  }

  @Test
  void should_choose_no_instance_when_it_is_partitioned_or_takes_no_callers() {
    add("cut", "north", true, true);
    add("stopping", "north", false, false);

    assertThat(chosen(Set.of())).isEmpty();
  }

  @Test
  void should_choose_another_region_only_if_it_may_serve_the_request_when_the_own_has_none() {
    add("cut", "north", true, true);
    add("south-1", "south", true, false);
    add("west-1", "west", true, false);

    assertThat(chosen(Set.of())).containsExactlyInAnyOrder("south-1", "west-1");
    assertThat(chosen(Set.of("north", "west"))).containsExactly("west-1");
    assertThat(chosen(Set.of("north"))).isEmpty();
  }
}
