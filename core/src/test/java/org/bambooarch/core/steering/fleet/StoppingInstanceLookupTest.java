package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bambooarch.core.steering.fleet.LookupFixture.HOST_OF_NORTH;
import static org.bambooarch.core.steering.fleet.LookupFixture.OPEN_HOST;
import static org.bambooarch.core.steering.fleet.LookupFixture.instance;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class StoppingInstanceLookupTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final LookupFixture directory = new LookupFixture();

  private void stopSelf(long acceptUntilMillis) {
    directory.selfTakesCallers = false;
    directory.selfStopping =
        Optional.of(
            new StoppingInstance(instance("self", "north"), acceptUntilMillis * NANOS_PER_MILLI));
  }

  // Incident "requests outside their home regions": a region whose instances were stopping and
  // starting in turn read as empty, and look-ups named another one.
  @Test
  void should_name_stopping_instances_of_the_region_when_none_is_ready() {
    stopSelf(2_800);
    directory.receiveStopping(instance("near", "north"), 400, false, 0);
    directory.receiveHeartbeat(instance("far", "south"), false, 0);

    DirectoryAnswer answer = directory.answer(HOST_OF_NORTH, "north", 100);

    assertThat(answer.addresses()).containsExactly("near:80", "self:80");
    assertThat(answer.scope()).isEqualTo(DirectoryScope.STOPPING_IN_REGION);
    assertThat(answer.validUntilNanos()).hasValue(400 * NANOS_PER_MILLI);
  }

  @Test
  void should_name_another_region_before_stopping_instances_when_the_host_permits_all_regions() {
    stopSelf(2_800);
    assertThat(directory.answer(OPEN_HOST, "north", 100).addresses()).containsExactly("self:80");

    directory.receiveHeartbeat(instance("far", "south"), false, 100);
    DirectoryAnswer answer = directory.answer(OPEN_HOST, "north", 100);

    assertThat(answer.addresses()).containsExactly("far:80");
    assertThat(answer.scope()).isEqualTo(DirectoryScope.ANY_REGION);
    assertThat(answer.validUntilNanos()).isEmpty();
    assertThat(directory.answer(HOST_OF_NORTH, "north", 100).addresses())
        .containsExactly("self:80");
  }

  // The last instance of a region may refuse requests as soon as another one is ready.
  @Test
  void
      should_let_the_answer_expire_with_the_next_heartbeat_when_stopping_instances_accept_longer() {
    stopSelf(5_000);

    assertThat(directory.answer(OPEN_HOST, "north", 1_000).validUntilNanos())
        .hasValue(1_500 * NANOS_PER_MILLI);
  }

  @Test
  void should_not_name_stopping_instances_when_one_of_the_region_is_ready() {
    directory.receiveStopping(instance("near", "north"), 2_800, false, 0);

    DirectoryAnswer answer = directory.answer(OPEN_HOST, "north", 1);

    assertThat(answer.addresses()).containsExactly("self:80");
    assertThat(answer.validUntilNanos()).isEmpty();
  }

  @Test
  void should_not_name_a_stopping_instance_when_its_time_has_ended_or_it_is_partitioned() {
    directory.selfTakesCallers = false;
    directory.receiveStopping(instance("ended", "north"), 500, false, 0);
    directory.receiveStopping(instance("cut", "north"), 2_000, true, 0);

    assertThat(directory.answer(HOST_OF_NORTH, "north", 499).addresses())
        .containsExactly("ended:80");
    assertThat(directory.answer(HOST_OF_NORTH, "north", 500).addresses()).isEmpty();
  }

  @Test
  void should_not_name_stopping_instances_of_another_region_when_none_is_ready() {
    directory.selfTakesCallers = false;
    directory.receiveStopping(instance("far", "south"), 2_800, false, 0);

    assertThat(directory.answer(OPEN_HOST, "north", 1).addresses()).isEmpty();
  }
}
