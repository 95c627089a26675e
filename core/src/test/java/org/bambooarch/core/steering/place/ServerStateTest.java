package org.bambooarch.core.steering.place;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ServerStateTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private static ServerEntry entry(long startWallMillis) {
    return new ServerEntry(
        "server-1", "shop", "10.0.0.1", 80, "north-a", 5, false, 0, startWallMillis);
  }

  private final ServerState server = new ServerState(entry(1), "north", 0);

  private boolean isAvoidedAtMillis(long millis) {
    return server.isAvoided(millis * NANOS_PER_MILLI);
  }

  // Incident bluemahoe-codes (BUDGET): servers got requests in the time for which they had asked
  // for
  // rest.
  @Test
  void should_be_avoided_until_the_rest_that_it_asked_for_has_ended() {
    server.onRestAsked(3_000, 0);
    server.onShed(0);

    assertThat(isAvoidedAtMillis(2_999)).isTrue();
    assertThat(isAvoidedAtMillis(3_000)).isFalse();
  }

  @Test
  void should_keep_the_longer_rest_when_it_asks_for_a_shorter_one_later() {
    server.onRestAsked(3_000, 0);
    server.onRestAsked(500, 1_000 * NANOS_PER_MILLI);

    assertThat(isAvoidedAtMillis(2_999)).isTrue();
  }

  @Test
  void should_go_on_resting_when_a_partition_from_all_servers_ends() {
    server.onRestAsked(3_000, 0);
    server.onUnreachable(true, 0);
    server.onPartitionChanged(false, 0);

    assertThat(isAvoidedAtMillis(2_999)).isTrue();
  }

  @Test
  void should_rest_no_longer_when_it_was_started_again() {
    server.onRestAsked(3_000, 0);
    server.update(entry(2), "north", NANOS_PER_MILLI);

    assertThat(isAvoidedAtMillis(1)).isFalse();
  }
}
