package org.bambooarch.core.steering.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ServerTableTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ServerTable table = new ServerTable(Map.of("north-a", "north"));

  private static ServerEntry entry(boolean draining, long coldLeftMillis, long born) {
    return new ServerEntry("a", "shop", "h", 1, "north-a", 4, draining, coldLeftMillis, born);
  }

  private boolean isCold(long nowMillis) {
    return table.find("a").orElseThrow().isCold(nowMillis * NANOS_PER_MILLI);
  }

  @Test
  void should_drop_a_server_at_once_when_the_store_was_never_away() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.remove("a", 10 * NANOS_PER_MILLI);
    assertThat(table.find("a")).isEmpty();
  }

  @Test
  void should_not_keep_a_leaving_server_when_its_entry_lapses() {
    table.replaceAll(List.of(entry(true, 0, 1)), 3_000, 0);
    table.onStoreReturned(0);
    table.remove("a", 10 * NANOS_PER_MILLI);
    assertThat(table.find("a")).isEmpty();
  }

  @Test
  void should_keep_a_lapsed_server_that_registers_again() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.onStoreReturned(0);
    table.remove("a", 10 * NANOS_PER_MILLI);
    table.put(entry(false, 0, 1), 3_000, 1_000 * NANOS_PER_MILLI);
    table.tick(5_000 * NANOS_PER_MILLI);
    assertThat(table.find("a")).isPresent();
    assertThat(isCold(1_001)).isFalse();
  }

  @Test
  void should_send_nothing_to_a_server_that_left_during_a_cut_within_three_seconds_of_its_end() {
    long reachedMillis = 1_200;
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.onStoreReturned(reachedMillis * NANOS_PER_MILLI);
    table.remove("a", reachedMillis * NANOS_PER_MILLI);
    table.tick((reachedMillis + 1_400) * NANOS_PER_MILLI);
    assertThat(table.availableServers("shop")).hasSize(1);

    table.tick(2_800 * NANOS_PER_MILLI);

    assertThat(table.availableServers("shop")).isEmpty();
  }

  @Test
  void should_keep_what_is_known_of_a_lapsed_server_that_registers_two_seconds_later() {
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
  void should_forget_a_lapsed_server_that_does_not_register_again() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.onStoreReturned(0);
    table.remove("a", 10 * NANOS_PER_MILLI);
    table.tick(2_600 * NANOS_PER_MILLI);

    assertThat(table.find("a")).isEmpty();
  }

  @Test
  void should_take_a_server_as_cold_when_it_joins_while_the_instance_runs() {
    table.replaceAll(List.of(), 3_000, 0);
    table.put(entry(false, 0, 1), 3_000, 0);
    assertThat(isCold(2_900)).isTrue();
    assertThat(isCold(3_100)).isFalse();
  }

  @Test
  void should_take_a_server_as_cold_when_it_was_started_again_under_its_name() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.put(entry(false, 0, 2), 3_000, 100 * NANOS_PER_MILLI);
    assertThat(isCold(200)).isTrue();
  }

  @Test
  void should_take_servers_as_cold_when_their_data_centre_is_opened_again() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    table.evacuate("north-a");
    table.reopen("north-a", 3_000, 500 * NANOS_PER_MILLI);
    assertThat(isCold(600)).isTrue();
  }

  @Test
  void should_take_a_server_as_cold_when_it_refused_connections_before() {
    table.replaceAll(List.of(entry(false, 0, 1)), 3_000, 0);
    ServerState server = table.find("a").orElseThrow();
    server.onUnreachable(true, 0);
    server.onConnected(3_000, 1_000 * NANOS_PER_MILLI);
    assertThat(isCold(1_100)).isTrue();
  }
}
