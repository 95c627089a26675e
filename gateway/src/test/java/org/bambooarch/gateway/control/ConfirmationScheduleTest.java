package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.ListStatus;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ConfirmationScheduleTest {

  private static final long BOUND_MILLIS = 2_000;

  /** Time for three calls without response and one with a response, before the bound. */
  private static final long LATEST_ASK_MILLIS = BOUND_MILLIS - 4 * 300;

  private final ManualClock clock = ManualClock.startingAtZero();

  private static InstanceIdentity instance(int number) {
    return new InstanceIdentity(
        "entry-%03d".formatted(number), 1, "north", "north-a", "a:1", "a:2");
  }

  private static Heartbeat heartbeat(int number, boolean takesCallers, ListVersions lists) {
    return new Heartbeat(
        instance(number),
        takesCallers,
        0,
        false,
        0,
        lists,
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        List.of());
  }

  /** Creates instances that have just read the list, of which the first ones are stopping. */
  private List<ControlState> fleet(int instances, int stopping, long storeMillis) {
    List<ControlState> states = new ArrayList<>();
    for (int number = 0; number < instances; number++) {
      ControlState state = new ControlState(ListWatcherTest.settings(instance(number)), clock);
      ControlUpdate list = new ControlUpdate(0, 7, 7, storeMillis, List.of());
      state.replaceList(Topic.OPERATOR, list);
      state.onListRead(Topic.OPERATOR, list, clock.monotonicNanos());
      states.add(state);
    }
    tell(states, stopping);
    return states;
  }

  private void tell(List<ControlState> states, int stopping) {
    for (int number = 0; number < states.size(); number++) {
      ListVersions lists = states.get(number).createHeartbeat().listVersions();
      Heartbeat heartbeat = heartbeat(number, number >= stopping, lists);
      states.forEach(state -> state.onHeartbeat(heartbeat));
    }
  }

  private List<Integer> due(List<ControlState> states) {
    List<Integer> due = new ArrayList<>();
    for (int number = 0; number < states.size(); number++) {
      ConfirmationSchedule schedule =
          new ConfirmationSchedule(Topic.OPERATOR, states.get(number), BOUND_MILLIS);
      if (schedule.isDue(clock.monotonicNanos())) {
        due.add(number);
      }
    }
    return due;
  }

  @ParameterizedTest
  @CsvSource({"1,0", "2,0", "11,0", "54,0", "11,2", "3,1"})
  void should_let_one_instance_ask_when_all_read_the_same_list_at_the_same_time(
      int instances, int stopping) {
    List<ControlState> states = fleet(instances, stopping, 1_000);
    clock.advanceMillis(BOUND_MILLIS / 4 - 1);
    assertThat(due(states)).isEmpty();

    clock.advanceMillis(1);
    assertThat(due(states)).filteredOn(number -> number >= stopping).hasSize(1);
  }

  // Incident brenta-lb: all instances began their watches after the same change, and the store went
  // silent before the first of them ended.
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 11, 54, 200})
  void should_let_all_instances_ask_in_time_for_further_calls_when_none_hears_of_a_confirmation(
      int instances) {
    List<ControlState> states = fleet(instances, 0, 1_000);
    clock.advanceMillis(LATEST_ASK_MILLIS);

    assertThat(due(states)).hasSize(instances);
  }

  @Test
  void should_ask_nothing_when_another_instance_has_confirmed_the_same_list() {
    List<ControlState> states = fleet(3, 0, 1_000);
    clock.advanceMillis(LATEST_ASK_MILLIS);
    ControlUpdate confirmed = new ControlUpdate(0, 7, 0, 1_000 + LATEST_ASK_MILLIS, List.of());
    states.getFirst().onListRead(Topic.OPERATOR, confirmed, clock.monotonicNanos());
    tell(states, 0);

    assertThat(due(states)).isEmpty();
  }

  @Test
  void should_take_turns_when_one_confirmation_follows_another() {
    Set<Integer> first = new HashSet<>();
    for (int round = 1; round <= 50; round++) {
      List<ControlState> states = fleet(5, 0, 1_000 * round);
      clock.advanceMillis(BOUND_MILLIS / 4);
      first.addAll(due(states));
    }

    assertThat(first).hasSize(5);
  }

  // An instance that lacks a change must not count it as confirmed by one that has it.
  @Test
  void should_ask_when_another_instance_has_confirmed_a_list_with_other_content() {
    List<ControlState> states = fleet(2, 0, 1_000);
    clock.advanceMillis(LATEST_ASK_MILLIS);
    ListStatus other = new ListStatus(7, 12, 1_000 + LATEST_ASK_MILLIS);
    states.getFirst().onHeartbeat(heartbeat(1, true, new ListVersions(0, other, ListStatus.NONE)));

    assertThat(due(states)).contains(0);
  }
}
