package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CrashHistoryTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long REQUEST = 7;

  private final CrashHistory history = new CrashHistory();
  private final CrashHistory other = new CrashHistory();

  private void crash(int server, long atSeconds) {
    history.onServerCrash(REQUEST, server, atSeconds * SECOND - 1, atSeconds * SECOND);
  }

  private boolean maySend(long atSeconds) {
    return history.maySend(REQUEST, atSeconds * SECOND);
  }

  @Test
  void should_stop_a_request_when_two_servers_died_of_it() {
    crash(1, 1);
    assertThat(maySend(1)).isTrue();
    crash(2, 2);
    assertThat(maySend(2)).isFalse();
  }

  @Test
  void should_let_a_popular_request_go_on_ten_seconds_after_it_met_two_lost_connections() {
    crash(1, 1);
    crash(2, 2);

    assertThat(maySend(11)).isFalse();
    assertThat(maySend(12)).isTrue();
  }

  @Test
  void should_stop_a_request_for_ten_minutes_when_a_third_server_died_of_it() {
    crash(1, 1);
    crash(2, 2);
    crash(3, 13);

    assertThat(maySend(500)).isFalse();
    assertThat(maySend(613)).isTrue();
  }

  @Test
  void should_stop_a_request_again_when_it_kills_servers_that_came_back_under_their_names() {
    crash(1, 1);
    crash(2, 2);
    crash(1, 13);

    assertThat(maySend(13)).isFalse();
    assertThat(maySend(500)).isFalse();
  }

  @Test
  void should_count_a_server_once_that_loses_several_connections_at_a_time() {
    crash(1, 1);
    crash(1, 3);

    assertThat(maySend(3)).isTrue();
  }

  @Test
  void should_count_a_death_once_though_heartbeats_repeat_it() {
    other.onServerCrash(REQUEST, 1, 0, SECOND);
    for (long half = 2; half <= 6; half++) {
      history.onPeerCrashes(other.recentOwnCrashes(half * SECOND / 2), half * SECOND / 2);
    }
    crash(1, 3);

    assertThat(maySend(3)).isTrue();
  }

  @Test
  void should_count_servers_that_die_at_the_same_moment_once() {
    history.onServerCrash(REQUEST, 1, 0, 5 * SECOND);
    history.onServerCrash(REQUEST, 2, 1, 5 * SECOND);

    assertThat(maySend(5)).isTrue();
  }

  @Test
  void should_stop_a_request_that_killed_servers_of_other_instances() {
    crash(1, 1);
    other.onServerCrash(REQUEST, 2, 2 * SECOND - 1, 2 * SECOND);
    history.onPeerCrashes(other.recentOwnCrashes(2 * SECOND), 2 * SECOND);

    assertThat(maySend(3)).isFalse();
  }

  @Test
  void should_tell_others_for_two_seconds_so_that_an_answer_clears_the_request_for_good() {
    other.onServerCrash(REQUEST, 1, 0, SECOND);
    other.onServerCrash(REQUEST, 2, 2 * SECOND - 1, 2 * SECOND);

    assertThat(other.recentOwnCrashes(2 * SECOND)).hasSize(2);
    assertThat(other.recentOwnCrashes(5 * SECOND)).isEmpty();
  }

  @Test
  void should_forget_a_request_that_was_answered() {
    crash(1, 1);
    crash(2, 2);
    history.onAnswered(REQUEST);

    assertThat(maySend(2)).isTrue();
    assertThat(history.recentOwnCrashes(2 * SECOND)).isEmpty();
  }
}
