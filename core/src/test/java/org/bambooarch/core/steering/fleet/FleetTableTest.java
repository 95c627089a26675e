package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FleetTableTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final FleetTable table = new FleetTable(instance("self", 1));

  private static InstanceIdentity instance(String name, long incarnation) {
    return new InstanceIdentity(name, incarnation, "north", "north-a", name + ":80", name + ":90");
  }

  private boolean receiveHeartbeat(String name, long incarnation, long atMillis) {
    return receiveHeartbeat(instance(name, incarnation), true, 0, atMillis);
  }

  private boolean receiveHeartbeat(
      InstanceIdentity sender, boolean takesCallers, long acceptsForMillis, long atMillis) {
    return table.onHeartbeat(
        new Heartbeat(
            sender,
            takesCallers,
            acceptsForMillis,
            false,
            1,
            ListVersions.NONE,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            List.of()),
        atMillis * NANOS_PER_MILLI);
  }

  private boolean heardAllSince(long sinceMillis, long nowMillis) {
    return table.heardAllSince(sinceMillis * NANOS_PER_MILLI, nowMillis * NANOS_PER_MILLI);
  }

  private boolean knowsWhichAreLive(long nowMillis) {
    return table.knowsWhichAreLive(nowMillis * NANOS_PER_MILLI);
  }

  @Test
  void should_ignore_a_heartbeat_when_it_comes_late_from_an_earlier_run() {
    receiveHeartbeat("other", 7, 0);

    assertThat(receiveHeartbeat("other", 6, 1_000)).isFalse();
    assertThat(receiveHeartbeat("other", 7, 1_001)).isTrue();
  }

  @Test
  void should_accept_a_run_with_a_lower_number_when_the_earlier_run_fell_silent() {
    // A run gets a lower number than the one before it if its wall clock was set back.
    receiveHeartbeat("other", 7, 0);

    assertThat(receiveHeartbeat("other", 3, 2_300)).isTrue();
    assertThat(receiveHeartbeat("other", 3, 2_800)).isTrue();
  }

  @Test
  void should_accept_a_run_with_a_lower_number_when_the_earlier_run_is_only_listed() {
    table.onListed(instance("other", 7), 0);

    assertThat(receiveHeartbeat("other", 3, 10)).isTrue();
  }

  @Test
  void should_confirm_a_report_only_when_each_listed_instance_was_heard_after_it() {
    table.onListed(instance("a", 1), 0);
    table.onListed(instance("b", 1), 0);
    assertThat(heardAllSince(100, 200)).as("list not read").isFalse();
    table.onListRead(0);
    receiveHeartbeat("a", 1, 200);
    assertThat(heardAllSince(100, 200)).as("b not heard").isFalse();
    receiveHeartbeat("b", 1, 300);

    assertThat(heardAllSince(100, 300)).isTrue();
    assertThat(heardAllSince(250, 300)).isFalse();
  }

  @Test
  void should_not_wait_for_an_instance_when_it_has_been_silent_for_ten_seconds() {
    table.onListed(instance("a", 1), 0);
    table.onListRead(0);
    receiveHeartbeat("a", 1, 0);

    assertThat(heardAllSince(500, 9_900)).isFalse();
    assertThat(heardAllSince(500, 10_100)).isTrue();
  }

  // Regression: an instance that had just started took regions that it had not heard yet for empty.
  @Test
  void should_know_which_instances_are_live_when_each_listed_one_was_heard() {
    table.onListed(instance("a", 1), 0);
    table.onListed(instance("b", 1), 0);
    receiveHeartbeat("a", 1, 100);
    receiveHeartbeat("b", 1, 200);
    assertThat(knowsWhichAreLive(200)).as("list not read").isFalse();
    table.onListRead(300 * NANOS_PER_MILLI);
    assertThat(knowsWhichAreLive(1_049)).as("one that is not listed may not be heard").isFalse();
    assertThat(knowsWhichAreLive(1_050)).isTrue();
    table.onListed(instance("c", 1), 1_100 * NANOS_PER_MILLI);
    assertThat(knowsWhichAreLive(1_100)).as("c not heard").isFalse();
  }

  @Test
  void should_know_which_instances_are_live_when_a_listed_one_is_silent_since_the_list_was_read() {
    table.onListed(instance("a", 1), 0);
    table.onListRead(0);
    table.onListRead(2_000 * NANOS_PER_MILLI);

    assertThat(knowsWhichAreLive(2_249)).isFalse();
    assertThat(knowsWhichAreLive(2_250)).isTrue();
  }

  // Instances that start at the same moment may find none of the others listed.
  @Test
  void should_not_know_which_instances_are_live_when_the_list_that_was_just_read_has_no_other() {
    table.onListRead(0);

    assertThat(knowsWhichAreLive(2_249)).isFalse();
    assertThat(knowsWhichAreLive(2_250)).isTrue();
  }

  @Test
  void should_assume_a_partition_until_ten_seconds_of_silence_when_a_heartbeat_was_missed() {
    receiveHeartbeat("a", 1, 0);

    assertThat(table.mayBePartitioned(600 * NANOS_PER_MILLI)).isFalse();
    assertThat(table.mayBePartitioned(800 * NANOS_PER_MILLI)).isTrue();
    assertThat(table.mayBePartitioned(10_100 * NANOS_PER_MILLI)).isFalse();
  }

  private int heartbeatsSentTo(String name, long fromMillis, long toMillis) {
    int heartbeats = 0;
    for (long millis = fromMillis; millis < toMillis; millis += 500) {
      long nowNanos = millis * NANOS_PER_MILLI;
      table.tick(nowNanos);
      heartbeats +=
          (int)
              table.takeHeartbeatRecipients(nowNanos).stream()
                  .filter(recipient -> recipient.name().equals(name))
                  .count();
    }
    return heartbeats;
  }

  // Regression: after a network partition of more than a minute no instance of either side sent
  // heartbeats to the other one, so that both gave out each customer's whole rate.
  @Test
  void should_send_heartbeats_to_an_instance_that_has_been_silent_for_minutes() {
    receiveHeartbeat("other", 7, 0);
    heartbeatsSentTo("other", 0, 300_000);

    assertThat(heartbeatsSentTo("other", 300_000, 302_000)).isEqualTo(1);
    assertThat(table.knownInstances()).isEqualTo(1);
  }

  @Test
  void should_know_an_instance_again_when_it_is_heard_after_minutes_of_silence() {
    receiveHeartbeat("other", 7, 0);
    heartbeatsSentTo("other", 0, 300_000);
    receiveHeartbeat("other", 7, 300_000);

    assertThat(table.knownInstances()).isEqualTo(2);
    assertThat(heartbeatsSentTo("other", 300_000, 302_000)).isEqualTo(4);
  }

  @Test
  void should_know_a_stopping_instance_as_long_as_it_accepts_requests_and_is_heard() {
    InstanceIdentity stopping = instance("stopping", 1);
    receiveHeartbeat(stopping, false, 1_500, 1_000);

    assertThat(table.stoppingInstances(2_499 * NANOS_PER_MILLI))
        .containsExactly(new StoppingInstance(stopping, 2_500 * NANOS_PER_MILLI));
    assertThat(table.stoppingInstances(2_500 * NANOS_PER_MILLI)).isEmpty();

    receiveHeartbeat(stopping, false, 9_000, 3_000);
    assertThat(table.stoppingInstances(5_249 * NANOS_PER_MILLI)).hasSize(1);
    assertThat(table.stoppingInstances(5_250 * NANOS_PER_MILLI)).as("silent").isEmpty();
  }

  @Test
  void should_know_no_stopping_instance_when_it_takes_callers_or_accepts_no_requests() {
    receiveHeartbeat("ready", 1, 0);
    receiveHeartbeat(instance("starting", 1), false, 0, 0);

    assertThat(table.stoppingInstances(1)).isEmpty();
  }

  // A server that names a limit got more than that from instances that were stopping.
  @Test
  void should_count_a_stopping_instance_as_a_possible_sender_while_it_accepts_requests() {
    receiveHeartbeat(instance("stopping", 1), false, 1_500, 1_000);
    receiveHeartbeat(instance("starting", 1), false, 0, 1_000);

    assertThat(table.possibleSenders(2_499 * NANOS_PER_MILLI))
        .extracting(InstanceIdentity::name)
        .containsExactly("stopping");
    assertThat(table.possibleSenders(2_500 * NANOS_PER_MILLI)).isEmpty();
  }

  @Test
  void should_forget_an_instance_that_has_been_silent_for_hours() {
    receiveHeartbeat("other", 7, 0);
    heartbeatsSentTo("other", 0, 2 * 3_600_000L);

    assertThat(heartbeatsSentTo("other", 2 * 3_600_000L, 2 * 3_600_000L + 10_000)).isZero();
  }

  @Test
  void should_count_the_other_instances_of_a_region_when_some_are_unheard_silent_or_elsewhere() {
    table.onListed(instance("unheard", 1), 0);
    table.onListed(new InstanceIdentity("far", 1, "south", "south-a", "far:80", "far:90"), 0);
    receiveHeartbeat("silent", 1, 0);
    receiveHeartbeat("live", 1, 1_000);

    assertThat(table.countOthersIn("north", 2_300 * NANOS_PER_MILLI))
        .isEqualTo(new RegionCounts(3, 1, 1, 1, 0));
    assertThat(table.countOthersIn("south", 2_300 * NANOS_PER_MILLI))
        .isEqualTo(new RegionCounts(1, 1, 0, 0, 0));
    assertThat(table.countOthersIn("west", 2_300 * NANOS_PER_MILLI))
        .isEqualTo(new RegionCounts(0, 0, 0, 0, 0));
  }
}
