package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bambooarch.core.steering.fleet.LookupFixture.OPEN_HOST;
import static org.bambooarch.core.steering.fleet.LookupFixture.instance;

import org.junit.jupiter.api.Test;

class StartedInstanceLookupTest {

  private final LookupFixture directory = LookupFixture.justStarted();

  // Incident "requests outside their home regions": an instance that had just started named another
  // region, because it had not heard the instances of the caller's region yet.
  @Test
  void should_name_no_other_region_when_listed_instances_were_not_heard_yet() {
    directory.selfTakesCallers = false;
    directory.fleet.onListed(instance("near", "north"), 0);
    directory.fleet.onListed(instance("far", "south"), 0);
    directory.receiveHeartbeat(instance("far", "south"), false, 0);
    assertThat(directory.answer(OPEN_HOST, "north", 1).addresses()).as("list not read").isEmpty();
    directory.fleet.onListRead(0);
    assertThat(directory.answer(OPEN_HOST, "north", 1).addresses()).as("near not heard").isEmpty();

    directory.receiveHeartbeat(instance("near", "north"), false, 400);

    assertThat(directory.answer(OPEN_HOST, "north", 401).addresses()).containsExactly("near:80");
    assertThat(directory.answer(OPEN_HOST, "west", 750).addresses())
        .containsExactly("far:80", "near:80");
  }

  // Incident "requests outside their home regions": an instance that is stopping is not listed any
  // more, so that the others may all be heard before it.
  @Test
  void should_name_no_other_region_when_an_instance_that_is_not_listed_may_not_be_heard_yet() {
    directory.selfTakesCallers = false;
    directory.fleet.onListed(instance("far", "south"), 0);
    directory.fleet.onListRead(0);
    directory.receiveHeartbeat(instance("far", "south"), false, 0);

    assertThat(directory.answer(OPEN_HOST, "north", 749).addresses()).isEmpty();
    assertThat(directory.answer(OPEN_HOST, "north", 750).addresses()).containsExactly("far:80");
  }

  @Test
  void should_name_another_region_when_listed_instances_had_time_to_be_heard() {
    directory.selfTakesCallers = false;
    directory.fleet.onListed(instance("near", "north"), 0);
    directory.fleet.onListRead(0);
    directory.receiveHeartbeat(instance("far", "south"), false, 2_000);

    assertThat(directory.answer(OPEN_HOST, "north", 2_249).addresses()).isEmpty();
    assertThat(directory.answer(OPEN_HOST, "north", 2_250).addresses()).containsExactly("far:80");
  }

  // It counts as ready once it has a configuration and the list of servers.
  @Test
  void should_name_itself_only_to_callers_of_its_region_when_it_is_ready_and_heard_nobody() {
    directory.fleet.onListRead(0);

    assertThat(directory.answer(OPEN_HOST, "north", 1).addresses()).containsExactly("self:80");
    assertThat(directory.answer(OPEN_HOST, "south", 1).addresses()).isEmpty();
  }
}
