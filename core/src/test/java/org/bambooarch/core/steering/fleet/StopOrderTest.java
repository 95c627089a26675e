package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

// Incident HOME: all instances of a region were stopping or starting at the same moment.
class StopOrderTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NOW_MILLIS = 20_000;
  private static final long NOW_NANOS = NOW_MILLIS * NANOS_PER_MILLI;

  private final FleetTable fleet = new FleetTable(instance("m", "north"));

  private static InstanceIdentity instance(String name, String region) {
    return new InstanceIdentity(name, 1, region, region + "-a", name + ":80", name + ":90");
  }

  private void hear(String name, String region, boolean takesCallers, long acceptsForMillis) {
    hear(name, region, takesCallers, acceptsForMillis, false, NOW_MILLIS);
  }

  private void hear(
      String name,
      String region,
      boolean takesCallers,
      long acceptsForMillis,
      boolean partitioned,
      long atMillis) {
    fleet.onHeartbeat(
        new Heartbeat(
            instance(name, region),
            takesCallers,
            acceptsForMillis,
            partitioned,
            1,
            ListVersions.NONE,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            List.of()),
        atMillis * NANOS_PER_MILLI);
  }

  private boolean leavesLast(long acceptsForMillis) {
    return StopOrder.leavesLast(fleet, NOW_NANOS + acceptsForMillis * NANOS_PER_MILLI, NOW_NANOS);
  }

  @Test
  void should_not_wait_when_another_instance_of_the_region_is_ready() {
    hear("a", "north", true, 0);

    assertThat(leavesLast(2_800)).isFalse();
  }

  @Test
  void should_wait_when_the_others_of_the_region_are_starting_or_stop_earlier() {
    hear("a", "north", false, 0);
    hear("b", "north", false, 1_000);
    hear("far", "south", true, 0);

    assertThat(leavesLast(2_800)).isTrue();
  }

  @Test
  void should_not_wait_when_another_instance_of_the_region_began_to_stop_later() {
    hear("a", "north", false, 4_000);

    assertThat(leavesLast(2_800)).isFalse();
  }

  @Test
  void should_let_the_instance_with_the_last_name_wait_when_two_stop_at_the_same_time() {
    hear("a", "north", false, 2_850);
    assertThat(leavesLast(2_800)).isTrue();

    hear("z", "north", false, 2_750);
    assertThat(leavesLast(2_800)).isFalse();
  }

  @Test
  void should_wait_when_those_that_are_ready_in_the_region_reach_no_server() {
    hear("a", "north", true, 0, true, NOW_MILLIS);

    assertThat(leavesLast(2_800)).isTrue();
  }

  @Test
  void should_wait_for_an_instance_that_fell_silent_but_not_longer_than_a_restart_takes() {
    hear("a", "north", true, 0, false, NOW_MILLIS - 5_000);
    assertThat(leavesLast(2_800)).isTrue();

    FleetTable abandoned = new FleetTable(instance("m", "north"));
    abandoned.onListed(instance("a", "north"), NOW_NANOS - FleetTable.POSSIBLY_ALIVE_NANOS);
    assertThat(StopOrder.leavesLast(abandoned, NOW_NANOS, NOW_NANOS)).isFalse();
  }

  @Test
  void should_not_wait_when_it_is_the_only_instance_of_its_region() {
    hear("far", "south", true, 0);

    assertThat(leavesLast(2_800)).isFalse();
  }
}
