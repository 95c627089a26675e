package org.bambooarch.core.steering.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ServerTableTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ServerTable table = new ServerTable(Map.of("north-a", "north"));

  private static ServerEntry entry(boolean draining, long coldLeftMillis, long startWallMillis) {
    return new ServerEntry(
        "a", "shop", "h", 1, "north-a", 4, draining, coldLeftMillis, startWallMillis);
  }

  private boolean isCold(long nowMillis) {
    return table.find("a").orElseThrow().isCold(nowMillis * NANOS_PER_MILLI);
  }

  @Test
  void should_drop_a_server_at_once_when_the_store_was_always_available() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.remove("a", 10 * NANOS_PER_MILLI);
    assertThat(table.find("a")).isEmpty();
  }

  // Rule DRAIN: a server that stated in a response that it leaves went on getting requests.
  @Test
  void should_not_use_a_server_that_leaves_when_its_entry_is_removed_and_listed_again() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    assertThat(table.onLeaving(entry(false, 0, 1))).isTrue();
    assertThat(table.onLeaving(entry(false, 0, 1))).isFalse();
    assertThat(table.availableServers("shop")).isEmpty();

    table.remove("a", 10 * NANOS_PER_MILLI);
    table.put(entry(false, 0, 1), 3_000, 1_000 * NANOS_PER_MILLI);
    assertThat(table.availableServers("shop")).isEmpty();
    assertThat(table.findAvailable("a")).isEmpty();
  }

  @Test
  void should_use_a_server_that_left_when_it_was_started_again() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.onLeaving(entry(false, 0, 1));
    table.put(entry(false, 0, 2), 3_000, 1_000 * NANOS_PER_MILLI);

    assertThat(table.availableServers("shop")).hasSize(1);
  }

  @Test
  void should_drop_a_draining_server_at_once_when_its_entry_lapses() {
    table.replaceAll(List.of(entry(true, 0, 1)), 3_000, 0);
    table.onStoreReturned(0);
    table.remove("a", 10 * NANOS_PER_MILLI);
    assertThat(table.find("a")).isEmpty();
  }

  @Test
  void should_keep_a_lapsed_server_when_it_registers_again() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.onStoreReturned(0);
    table.remove("a", 10 * NANOS_PER_MILLI);
    table.put(entry(false, 0, 1), 3_000, 1_000 * NANOS_PER_MILLI);
    table.tick(5_000 * NANOS_PER_MILLI);
    assertThat(table.find("a")).isPresent();
    assertThat(isCold(1_001)).isFalse();
  }

  @Test
  void should_stop_requests_within_three_seconds_after_a_partition_when_a_server_left_during_it() {
    long storeReachedMillis = 1_200;
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.onStoreReturned(storeReachedMillis * NANOS_PER_MILLI);
    table.remove("a", storeReachedMillis * NANOS_PER_MILLI);
    table.tick((storeReachedMillis + 1_400) * NANOS_PER_MILLI);
    assertThat(table.availableServers("shop")).hasSize(1);

    table.tick(2_800 * NANOS_PER_MILLI);

    assertThat(table.availableServers("shop")).isEmpty();
  }

  @Test
  void should_keep_the_state_of_a_lapsed_server_when_it_registers_two_seconds_later() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.onStoreReturned(0);
    table.remove("a", 10 * NANOS_PER_MILLI);
    table.tick(1_900 * NANOS_PER_MILLI);
    ServerState before = table.find("a").orElseThrow();
    table.put(entry(false, 0, 1), 3_000, 2_000 * NANOS_PER_MILLI);

    assertThat(table.availableServers("shop")).containsExactly(before);
    assertThat(isCold(2_001)).isFalse();
  }

  @Test
  void should_drop_a_lapsed_server_when_it_does_not_register_again() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.onStoreReturned(0);
    table.remove("a", 10 * NANOS_PER_MILLI);
    table.tick(2_600 * NANOS_PER_MILLI);

    assertThat(table.find("a")).isEmpty();
  }

  @Test
  void should_count_a_server_as_cold_when_it_joins_after_the_first_list() {
    table.replaceAll(List.of(), 3_000, 0);
    table.put(entry(false, 0, 1), 3_000, 0);
    assertThat(isCold(2_900)).isTrue();
    assertThat(isCold(3_100)).isFalse();
  }

  @Test
  void should_count_a_server_as_cold_when_it_was_started_again_under_its_name() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.put(entry(false, 0, 2), 3_000, 100 * NANOS_PER_MILLI);
    assertThat(isCold(200)).isTrue();
  }

  @Test
  void should_count_servers_as_cold_when_their_data_centre_is_reopened() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.evacuate("north-a");
    table.reopen("north-a", 3_000, 500 * NANOS_PER_MILLI);
    assertThat(isCold(600)).isTrue();
  }

  @Test
  void should_count_a_server_as_cold_when_it_refused_connections_before() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    ServerState server = table.find("a").orElseThrow();
    server.onUnreachable(true, 0);
    server.onConnected(3_000, 1_000 * NANOS_PER_MILLI);
    assertThat(isCold(1_100)).isTrue();
  }

  @Test
  void should_find_no_available_server_when_it_is_unknown_draining_or_in_a_closed_data_centre() {
    assertThat(table.findAvailable("a")).isEmpty();
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    assertThat(table.findAvailable("a")).isPresent();
    table.evacuate("north-a");
    assertThat(table.findAvailable("a")).isEmpty();
    table.reopen("north-a", 0, 0);
    table.put(entry(true, 0, 1), 3_000, 1);
    assertThat(table.findAvailable("a")).isEmpty();
  }
}
