package org.bambooarch.core.steering.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.steering.hash.Hashes;
import org.junit.jupiter.api.Test;

class RegionSpilloverTest {

  /** Largest fraction of a region's requests that may change their region within 2 s. */
  private static final double MAX_SHIFT = 0.15;

  private static final int OBJECTS = 2_000;

  private final RegionSpillover spillover = new RegionSpillover("north");

  private static List<ServerState> servers(int north, int south, int northLoad) {
    List<ServerState> servers = new ArrayList<>();
    for (int i = 0; i < north + south; i++) {
      String region = i < north ? "north" : "south";
      ServerState server =
          new ServerState(
              new ServerEntry("server-" + i, "shop", "h", 1, region + "-a", 5, false, 0, 1),
              region,
              0);
      for (int n = 0; n < northLoad && i < north; n++) {
        server.onSent();
      }
      servers.add(server);
    }
    return servers;
  }

  private List<String> regions() {
    List<String> regions = new ArrayList<>();
    for (int object = 0; object < OBJECTS; object++) {
      regions.add(spillover.regionFor("shop", Hashes.of("object-" + object)));
    }
    return regions;
  }

  @Test
  void should_move_few_requests_within_two_seconds_when_the_region_is_suddenly_overloaded() {
    spillover.adjust("shop", servers(4, 4, 0), 0);
    List<String> before = regions();
    for (int step = 0; step < 4; step++) {
      spillover.adjust("shop", servers(4, 4, 8), 0);
    }
    List<String> after = regions();

    int moved = 0;
    for (int i = 0; i < OBJECTS; i++) {
      moved += before.get(i).equals(after.get(i)) ? 0 : 1;
    }
    assertThat(moved).isPositive().isLessThanOrEqualTo((int) (MAX_SHIFT * OBJECTS));
  }

  @Test
  void should_send_all_requests_to_other_regions_when_the_region_has_no_server() {
    spillover.adjust("shop", servers(4, 4, 0), 0);
    spillover.adjust("shop", servers(0, 4, 0), 0);
    assertThat(regions()).containsOnly("south");
  }

  @Test
  void should_start_with_the_fraction_that_the_capacity_allows_when_regions_differ() {
    spillover.adjust("shop", servers(2, 6, 0), 0);
    long local = regions().stream().filter("north"::equals).count();
    assertThat(local).isBetween(OBJECTS * 4L / 10, OBJECTS * 6L / 10);
  }

  @Test
  void should_send_nothing_to_other_regions_when_none_has_capacity() {
    spillover.adjust("shop", servers(4, 0, 0), 0);
    for (int step = 0; step < 20; step++) {
      spillover.adjust("shop", servers(4, 0, 9), 0);
    }
    assertThat(regions()).containsOnly("north");
  }

  @Test
  void should_move_requests_away_before_servers_are_full_when_other_regions_are_idle() {
    spillover.adjust("shop", servers(4, 4, 0), 0);
    for (int step = 0; step < 20; step++) {
      spillover.adjust("shop", servers(4, 4, 3), 0);
    }
    assertThat(regions()).contains("south");
  }

  @Test
  void should_move_no_request_when_other_regions_are_as_loaded() {
    spillover.adjust("shop", serversWithLoad(4, 4, 4), 0);
    for (int step = 0; step < 20; step++) {
      spillover.adjust("shop", serversWithLoad(4, 4, 4), 0);
    }
    assertThat(regions()).containsOnly("north");
  }

  private static List<ServerState> serversWithLoad(int north, int south, int load) {
    List<ServerState> servers = servers(north, south, 0);
    for (ServerState server : servers) {
      for (int n = 0; n < load; n++) {
        server.onSent();
      }
    }
    return servers;
  }
}
