package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class InstanceDirectoryTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final FleetTable fleet = new FleetTable(instance("self", "north", "north-a"));

  InstanceDirectoryTest() {
    fleet.onListRead(-FleetTable.LIVENESS_TIMEOUT_NANOS);
  }

  private static InstanceIdentity instance(String name, String region, String dataCentre) {
    return new InstanceIdentity(name, 1, region, dataCentre, name + ":80", name + ":90");
  }

  private void receiveHeartbeat(InstanceIdentity sender, boolean takesCallers, long atMillis) {
    receiveHeartbeat(sender, takesCallers, false, atMillis);
  }

  private void receiveHeartbeat(
      InstanceIdentity sender, boolean takesCallers, boolean partitioned, long atMillis) {
    fleet.onHeartbeat(
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
            List.of()),
        atMillis * NANOS_PER_MILLI);
  }

  private List<String> addresses(boolean self, String region, String dataCentre, long atMillis) {
    return addresses(self, false, region, dataCentre, atMillis);
  }

  private List<String> addresses(
      boolean self, boolean selfPartitioned, String region, String dataCentre, long atMillis) {
    return answer(self, selfPartitioned, region, dataCentre, atMillis).addresses();
  }

  private DirectoryAnswer answer(
      boolean self, boolean selfPartitioned, String region, String dataCentre, long atMillis) {
    return InstanceDirectory.answer(
        new DirectoryLookup(LookupFixture.OPEN_HOST, region, dataCentre),
        new InstanceDirectory.Knowledge(
            fleet, Optional.of(LookupFixture.CONFIG), self, Optional.empty(), selfPartitioned),
        atMillis * NANOS_PER_MILLI);
  }

  private DirectoryScope scope(boolean self, String region, String dataCentre, long atMillis) {
    return answer(self, false, region, dataCentre, atMillis).scope();
  }

  @Test
  void should_name_instances_of_data_centre_then_region_then_any_when_nearer_ones_are_missing() {
    receiveHeartbeat(instance("near", "south", "south-a"), true, 0);
    receiveHeartbeat(instance("beside", "south", "south-b"), true, 0);

    assertThat(addresses(true, "south", "south-a", 1)).containsExactly("near:80");
    assertThat(addresses(true, "south", "south-c", 1)).containsExactly("beside:80", "near:80");
    assertThat(addresses(true, "west", "west-a", 1))
        .containsExactly("beside:80", "near:80", "self:80");
  }

  @Test
  void should_not_name_an_instance_when_its_heartbeats_are_missing() {
    receiveHeartbeat(instance("killed", "north", "north-a"), true, 0);

    assertThat(addresses(true, "north", "north-a", 2_000)).contains("killed:80");
    assertThat(addresses(true, "north", "north-a", 2_500)).containsExactly("self:80");
  }

  @Test
  void should_not_name_an_instance_when_it_is_stopping_or_not_ready_yet() {
    receiveHeartbeat(instance("stopping", "north", "north-a"), true, 0);
    receiveHeartbeat(instance("stopping", "north", "north-a"), false, 500);

    assertThat(addresses(true, "north", "north-a", 501)).containsExactly("self:80");
    assertThat(addresses(false, "north", "north-a", 501)).isEmpty();
  }

  // Incident bluemahoe-codes: look-ups named instances that had lost their paths to all servers.
  @Test
  void should_not_name_an_instance_when_it_is_partitioned_from_all_servers() {
    receiveHeartbeat(instance("cut", "north", "north-a"), true, true, 0);
    receiveHeartbeat(instance("far", "south", "south-a"), true, 0);

    assertThat(addresses(true, "north", "north-a", 1)).containsExactly("self:80");
    assertThat(addresses(true, true, "north", "north-a", 1)).containsExactly("far:80");
    assertThat(addresses(false, "north", "north-a", 1)).containsExactly("far:80");
  }

  @Test
  void should_name_instances_as_before_when_all_that_take_callers_are_partitioned() {
    receiveHeartbeat(instance("cut", "north", "north-b"), true, true, 0);
    receiveHeartbeat(instance("starting", "north", "north-a"), false, 0);

    assertThat(addresses(true, true, "north", "north-a", 1)).containsExactly("self:80");
    assertThat(addresses(true, true, "north", "north-b", 1)).containsExactly("cut:80");
  }

  // Incident bluemahoe-codes: nothing told from where the instances that a look-up named came.
  @Test
  void should_state_the_nearest_place_with_instances_when_it_answers() {
    receiveHeartbeat(instance("near", "south", "south-a"), true, 0);

    assertThat(scope(true, "south", "south-a", 1)).isEqualTo(DirectoryScope.DATA_CENTRE);
    assertThat(scope(true, "south", "south-b", 1)).isEqualTo(DirectoryScope.REGION);
    assertThat(scope(true, "west", "west-a", 1)).isEqualTo(DirectoryScope.ANY_REGION);
    assertThat(scope(true, "south", "south-a", 2_250)).isEqualTo(DirectoryScope.ANY_REGION);
    assertThat(scope(false, "south", "south-a", 2_250)).isEqualTo(DirectoryScope.NONE);
  }

  @Test
  void should_state_any_region_when_the_own_region_has_only_stopping_or_partitioned_instances() {
    receiveHeartbeat(instance("stopping", "south", "south-a"), false, 0);
    receiveHeartbeat(instance("cut", "south", "south-a"), true, true, 0);

    assertThat(scope(true, "south", "south-a", 1)).isEqualTo(DirectoryScope.ANY_REGION);
    assertThat(scope(false, "south", "south-a", 1)).isEqualTo(DirectoryScope.DATA_CENTRE);
  }
}
