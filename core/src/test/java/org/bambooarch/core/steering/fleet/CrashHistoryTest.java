package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class CrashHistoryTest {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long REQUEST_HASH = 7;

  private final CrashHistory history = new CrashHistory();
  private final CrashHistory otherInstance = new CrashHistory();

  private void crash(int serverHash, long atSeconds) {
    history.onServerCrash(
        REQUEST_HASH, serverHash, atSeconds * NANOS_PER_SECOND - 1, atSeconds * NANOS_PER_SECOND);
  }

  private boolean maySend(long atSeconds) {
    return history.maySend(REQUEST_HASH, atSeconds * NANOS_PER_SECOND);
  }

  @Test
  void should_block_a_request_when_two_servers_crashed_on_it() {
    crash(1, 1);
    assertThat(maySend(1)).isTrue();
    crash(2, 2);
    assertThat(maySend(2)).isFalse();
  }

  @Test
  void should_allow_a_request_again_after_ten_seconds_when_it_met_two_lost_connections() {
    crash(1, 1);
    crash(2, 2);

    assertThat(maySend(11)).isFalse();
    assertThat(maySend(12)).isTrue();
  }

  @Test
  void should_block_a_request_for_ten_minutes_when_a_third_server_crashed_on_it() {
    crash(1, 1);
    crash(2, 2);
    crash(3, 13);

    assertThat(maySend(500)).isFalse();
    assertThat(maySend(613)).isTrue();
  }

  @Test
  void should_block_a_request_when_a_server_that_restarted_under_its_name_crashes_on_it_again() {
    crash(1, 1);
    crash(2, 2);
    crash(1, 13);

    assertThat(maySend(13)).isFalse();
    assertThat(maySend(500)).isFalse();
  }

  @Test
  void should_count_one_crash_when_a_server_loses_several_connections_within_seconds() {
    crash(1, 1);
    crash(1, 3);

    assertThat(maySend(3)).isTrue();
  }

  @Test
  void should_count_a_crash_once_when_heartbeats_repeat_it() {
    otherInstance.onServerCrash(REQUEST_HASH, 1, 0, NANOS_PER_SECOND);
    for (long halfSeconds = 2; halfSeconds <= 6; halfSeconds++) {
      history.onPeerCrashes(
          otherInstance.recentOwnCrashes(halfSeconds * NANOS_PER_SECOND / 2),
          halfSeconds * NANOS_PER_SECOND / 2);
    }
    crash(1, 3);

    assertThat(maySend(3)).isTrue();
  }

  @Test
  void should_count_one_crash_when_servers_crash_at_the_same_moment() {
    history.onServerCrash(REQUEST_HASH, 1, 0, 5 * NANOS_PER_SECOND);
    history.onServerCrash(REQUEST_HASH, 2, 1, 5 * NANOS_PER_SECOND);

    assertThat(maySend(5)).isTrue();
  }

  @Test
  void should_block_a_request_when_another_instance_reported_a_crash_on_it() {
    crash(1, 1);
    otherInstance.onServerCrash(REQUEST_HASH, 2, 2 * NANOS_PER_SECOND - 1, 2 * NANOS_PER_SECOND);
    history.onPeerCrashes(
        otherInstance.recentOwnCrashes(2 * NANOS_PER_SECOND), 2 * NANOS_PER_SECOND);

    assertThat(maySend(3)).isFalse();
  }

  @Test
  void should_stop_repeating_crashes_in_heartbeats_when_they_are_older_than_two_seconds() {
    otherInstance.onServerCrash(REQUEST_HASH, 1, 0, NANOS_PER_SECOND);
    otherInstance.onServerCrash(REQUEST_HASH, 2, 2 * NANOS_PER_SECOND - 1, 2 * NANOS_PER_SECOND);

    assertThat(otherInstance.recentOwnCrashes(2 * NANOS_PER_SECOND)).hasSize(2);
    // A crash that is repeated later would undo that a complete response cleared the request.
    assertThat(otherInstance.recentOwnCrashes(5 * NANOS_PER_SECOND)).isEmpty();
  }

  @Test
  void should_clear_a_request_when_it_got_a_complete_response() {
    crash(1, 1);
    crash(2, 2);
    history.onAnswered(REQUEST_HASH);

    assertThat(maySend(2)).isTrue();
    assertThat(history.recentOwnCrashes(2 * NANOS_PER_SECOND)).isEmpty();
  }

  private void record(CrashHistory.Crash... crashes) {
    history.onRecorded(REQUEST_HASH, List.of(crashes), 100 * NANOS_PER_SECOND);
  }

  private static CrashHistory.Crash recorded(int serverHash, long atSeconds) {
    return new CrashHistory.Crash(serverHash, atSeconds * NANOS_PER_SECOND);
  }

  private List<Long> takeUnrecorded() {
    return history.takeUnrecorded(10);
  }

  // Regression: a request that had crashed three servers was sent again after a restart.
  @Test
  void should_block_a_request_for_the_rest_of_the_time_when_its_crashes_are_recorded() {
    record(recorded(1, 10), recorded(2, 11), recorded(3, 50));

    assertThat(maySend(649)).isFalse();
    assertThat(maySend(650)).isTrue();
  }

  @Test
  void should_count_recorded_crashes_when_another_server_crashes() {
    record(recorded(2, 11), recorded(1, 10));
    assertThat(maySend(100)).isTrue();
    crash(3, 101);

    assertThat(maySend(111)).isFalse();
    assertThat(history.crashesOf(REQUEST_HASH))
        .containsExactly(recorded(1, 10), recorded(2, 11), recorded(3, 101));
  }

  @Test
  void should_count_a_crash_once_when_it_is_known_and_recorded() {
    crash(1, 99);
    record(recorded(1, 98));

    assertThat(history.crashesOf(REQUEST_HASH)).containsExactly(recorded(1, 99));
    assertThat(maySend(100)).isTrue();
  }

  @Test
  void should_keep_the_newest_crashes_when_more_are_recorded_than_are_needed() {
    crash(9, 100);
    record(recorded(3, 30), recorded(1, 10), recorded(2, 20));

    assertThat(history.crashesOf(REQUEST_HASH))
        .containsExactly(recorded(2, 20), recorded(3, 30), recorded(9, 100));
  }

  @Test
  void should_have_a_record_removed_when_its_crashes_are_older_than_a_block() {
    history.onRecorded(REQUEST_HASH, List.of(recorded(1, 0)), 600 * NANOS_PER_SECOND);

    assertThat(takeUnrecorded()).containsExactly(REQUEST_HASH);
    assertThat(history.crashesOf(REQUEST_HASH)).isEmpty();
  }

  @Test
  void should_have_a_request_recorded_once_for_each_change_when_it_is_blocked() {
    crash(1, 1);
    assertThat(takeUnrecorded()).isEmpty();
    crash(2, 2);
    assertThat(takeUnrecorded()).containsExactly(REQUEST_HASH);
    assertThat(takeUnrecorded()).isEmpty();
    crash(3, 13);
    assertThat(takeUnrecorded()).containsExactly(REQUEST_HASH);
  }

  @Test
  void should_have_a_request_recorded_when_the_second_crash_was_at_another_instance() {
    crash(1, 1);
    history.onPeerCrashes(
        List.of(new Heartbeat.ServerCrash(REQUEST_HASH, 2)), 2 * NANOS_PER_SECOND);

    assertThat(takeUnrecorded()).containsExactly(REQUEST_HASH);
  }

  // All instances hear of a crash; each of them would write the same record.
  @Test
  void should_not_have_a_request_recorded_when_it_crashed_servers_of_other_instances_only() {
    history.onPeerCrashes(
        List.of(
            new Heartbeat.ServerCrash(REQUEST_HASH, 1), new Heartbeat.ServerCrash(REQUEST_HASH, 2)),
        2 * NANOS_PER_SECOND);
    history.onRecordsLost();

    assertThat(takeUnrecorded()).isEmpty();
  }

  @Test
  void should_have_a_record_removed_when_the_request_got_a_complete_response() {
    record(recorded(1, 10), recorded(2, 11));
    history.onAnswered(REQUEST_HASH);

    assertThat(takeUnrecorded()).containsExactly(REQUEST_HASH);
    assertThat(history.crashesOf(REQUEST_HASH)).isEmpty();
  }

  @Test
  void should_have_blocked_requests_recorded_again_when_the_store_lost_their_records() {
    crash(1, 1);
    crash(2, 2);
    takeUnrecorded();
    history.onRecordsLost();

    assertThat(takeUnrecorded()).containsExactly(REQUEST_HASH);
  }

  @Test
  void should_return_a_request_again_when_recording_it_failed() {
    crash(1, 1);
    crash(2, 2);
    takeUnrecorded().forEach(history::onRecordingFailed);

    assertThat(takeUnrecorded()).containsExactly(REQUEST_HASH);
  }
}
