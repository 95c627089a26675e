package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bambooarch.core.steering.fleet.LookupFixture.HOST_OF_NORTH;
import static org.bambooarch.core.steering.fleet.LookupFixture.OPEN_HOST;
import static org.bambooarch.core.steering.fleet.LookupFixture.instance;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class HomeRegionLookupTest {

  private final LookupFixture directory = new LookupFixture();

  // Incident "requests outside their home regions": look-ups named instances of any region.
  @Test
  void should_name_no_instance_outside_region_and_homes_when_the_host_has_homes() {
    directory.selfTakesCallers = false;
    directory.receiveHeartbeat(instance("far", "south"), false, 0);

    assertThat(directory.answer(HOST_OF_NORTH, "north", 1).addresses()).isEmpty();
    assertThat(directory.answer(HOST_OF_NORTH, "west", 1).addresses()).isEmpty();
    assertThat(directory.answer(HOST_OF_NORTH, "south", 1).addresses()).containsExactly("far:80");
    assertThat(directory.answer(OPEN_HOST, "north", 1).addresses()).containsExactly("far:80");
  }

  @Test
  void should_name_instances_of_the_homes_when_the_callers_region_has_none() {
    directory.receiveHeartbeat(instance("far", "south"), false, 0);

    DirectoryAnswer answer = directory.answer(HOST_OF_NORTH, "west", 1);

    assertThat(answer.addresses()).containsExactly("self:80");
    assertThat(answer.scope()).isEqualTo(DirectoryScope.HOME_REGIONS);
  }

  // A region whose heartbeats are lost reads like one whose instances have ended.
  @Test
  void should_name_no_instance_when_the_host_has_homes_and_their_heartbeats_are_lost() {
    directory.selfTakesCallers = false;
    directory.receiveHeartbeat(instance("near", "north"), false, 0);
    directory.receiveHeartbeat(instance("far", "south"), false, 2_000);

    assertThat(directory.answer(HOST_OF_NORTH, "north", 2_000).addresses())
        .containsExactly("near:80");
    assertThat(directory.answer(HOST_OF_NORTH, "north", 2_300).addresses()).isEmpty();
    assertThat(directory.answer(OPEN_HOST, "north", 2_300).addresses()).containsExactly("far:80");
  }

  // An instance without a configuration does not know which hosts have homes.
  @Test
  void should_name_instances_of_the_callers_region_only_when_it_has_no_configuration() {
    directory.config = Optional.empty();
    directory.selfTakesCallers = false;
    directory.receiveHeartbeat(instance("far", "south"), false, 0);

    assertThat(directory.answer(OPEN_HOST, "north", 1).scope()).isEqualTo(DirectoryScope.NONE);
    assertThat(directory.answer(OPEN_HOST, "south", 1).addresses()).containsExactly("far:80");
  }

  @Test
  void should_name_partitioned_instances_of_the_region_when_the_host_permits_no_other() {
    directory.selfPartitioned = true;
    directory.receiveHeartbeat(instance("far", "south"), false, 0);

    assertThat(directory.answer(HOST_OF_NORTH, "north", 1).addresses()).containsExactly("self:80");
    assertThat(directory.answer(OPEN_HOST, "north", 1).addresses()).containsExactly("far:80");
  }

  @Test
  void should_name_instances_that_reach_servers_in_homes_when_those_of_the_region_do_not() {
    directory.receiveHeartbeat(instance("cut", "west"), true, 0);

    assertThat(directory.answer(HOST_OF_NORTH, "west", 1).addresses()).containsExactly("self:80");
  }
}
