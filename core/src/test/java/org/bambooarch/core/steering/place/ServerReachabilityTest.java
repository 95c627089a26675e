package org.bambooarch.core.steering.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

class ServerReachabilityTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ServerTable table =
      new ServerTable(Map.of("north-a", "north", "north-b", "north", "south-a", "south"));
  private final ServerReachability reachability = new ServerReachability(table);
  private long nowMillis;

  private long nowNanos() {
    return nowMillis * NANOS_PER_MILLI;
  }

  /** Lists four servers of each of two services in each of three data centres. */
  private void listServers() {
    List<ServerEntry> entries = new ArrayList<>();
    for (String dataCentre : List.of("north-a", "north-b", "south-a")) {
      for (int i = 0; i < 4; i++) {
        entries.add(entry("shop", dataCentre, i, false));
        entries.add(entry("mail", dataCentre, i, false));
      }
    }
    table.replaceAll(entries, 0, 0);
  }

  private static ServerEntry entry(String service, String dataCentre, int index, boolean draining) {
    String id = service + "-" + dataCentre + "-" + index;
    return new ServerEntry(id, service, id, 1, dataCentre, 4, draining, 0, 1);
  }

  /** Sends the probes that are due; those to servers for which the condition holds connect. */
  private int probe(Predicate<ServerEntry> reachable) {
    List<ServerState> probes = reachability.nextProbes(nowNanos());
    for (ServerState server : probes) {
      if (reachable.test(server.entry())) {
        reachability.onConnected(server.entry());
      } else {
        reachability.onProbeFailed(server.entry(), nowNanos());
      }
    }
    return probes.size();
  }

  private void failConnection(ServerEntry server) {
    reachability.onConnectFailed(server, nowNanos());
  }

  // Incident bluemahoe-codes: an instance without a path to any server did not know it.
  @Test
  void should_be_partitioned_after_one_round_of_probes_when_connections_fail_in_all_places() {
    listServers();
    failConnection(entry("shop", "north-a", 0, false));

    assertThat(probe(server -> false)).isEqualTo(3);

    assertThat(reachability.isPartitioned()).isTrue();
    assertThat(reachability.failedDataCentres()).isEqualTo(3);
  }

  @Test
  void should_be_partitioned_after_one_round_of_probes_when_no_connection_was_tried_before() {
    listServers();
    reachability.suspect();

    probe(server -> false);

    assertThat(reachability.isPartitioned()).isTrue();
  }

  @Test
  void should_not_be_partitioned_when_one_data_centre_can_be_reached() {
    listServers();
    for (int round = 0; round < 10; round++) {
      nowMillis += 1_000;
      table.all().stream()
          .map(ServerState::entry)
          .filter(server -> !server.dataCentre().equals("south-a"))
          .forEach(this::failConnection);
      probe(server -> server.dataCentre().equals("south-a"));

      assertThat(reachability.isPartitioned()).isFalse();
    }
  }

  @Test
  void should_not_be_partitioned_when_all_servers_of_one_service_crash() {
    listServers();
    for (int round = 0; round < 10; round++) {
      nowMillis += 1_000;
      table.all().stream()
          .map(ServerState::entry)
          .filter(server -> server.service().equals("shop"))
          .forEach(this::failConnection);
      assertThat(reachability.isPartitioned()).isFalse();

      probe(server -> server.service().equals("mail"));

      assertThat(reachability.isPartitioned()).isFalse();
    }
  }

  @Test
  void should_probe_servers_without_failures_when_some_have_crashed() {
    listServers();
    List<ServerEntry> crashed =
        List.of(
            entry("shop", "north-a", 0, false),
            entry("shop", "north-b", 1, false),
            entry("mail", "south-a", 2, false));
    crashed.forEach(this::failConnection);
    assertThat(reachability.isPartitioned()).isFalse();

    List<ServerState> probes = reachability.nextProbes(nowNanos());

    assertThat(probes.stream().map(ServerState::entry)).doesNotContainAnyElementsOf(crashed);
    assertThat(probes.stream().map(server -> server.entry().dataCentre()))
        .containsExactlyInAnyOrder("north-a", "north-b", "south-a");
  }

  @Test
  void should_not_be_partitioned_when_failures_in_other_data_centres_are_seconds_old() {
    listServers();
    reachability.onProbeFailed(entry("shop", "north-a", 0, false), nowNanos());
    reachability.onProbeFailed(entry("shop", "north-b", 0, false), nowNanos());
    nowMillis += 5_000;

    reachability.onProbeFailed(entry("shop", "south-a", 0, false), nowNanos());

    assertThat(reachability.isPartitioned()).isFalse();
  }

  @Test
  void should_stay_partitioned_until_the_first_new_connection_when_failures_are_old() {
    listServers();
    reachability.suspect();
    probe(server -> false);
    nowMillis += 60_000;
    probe(server -> false);
    assertThat(reachability.isPartitioned()).isTrue();

    reachability.onConnected(entry("mail", "south-a", 3, false));

    assertThat(reachability.isPartitioned()).isFalse();
    failConnection(entry("shop", "north-a", 0, false));
    assertThat(reachability.isPartitioned()).isFalse();
  }

  @Test
  void should_probe_once_a_second_when_suspecting_and_twice_when_partitioned() {
    listServers();
    reachability.suspect();
    assertThat(reachability.nextProbes(nowNanos())).hasSize(3);
    nowMillis += 900;
    reachability.suspect();
    assertThat(reachability.nextProbes(nowNanos())).isEmpty();
    nowMillis += 100;
    assertThat(probe(server -> false)).isEqualTo(3);
    nowMillis += 400;
    assertThat(reachability.nextProbes(nowNanos())).isEmpty();
    nowMillis += 100;
    assertThat(reachability.nextProbes(nowNanos())).hasSize(3);
  }

  @Test
  void should_not_probe_when_nothing_suggests_a_partition() {
    listServers();
    assertThat(reachability.nextProbes(nowNanos())).isEmpty();
    reachability.suspect();
    reachability.onConnected(entry("mail", "south-a", 3, false));
    assertThat(reachability.nextProbes(nowNanos())).isEmpty();
  }

  @Test
  void should_ignore_data_centres_whose_servers_get_no_requests() {
    table.replaceAll(
        List.of(
            entry("shop", "north-a", 0, false),
            entry("shop", "north-b", 0, true),
            entry("shop", "south-a", 0, false)),
        0,
        0);
    table.evacuate("south-a");
    reachability.suspect();

    assertThat(probe(server -> false)).isEqualTo(1);

    assertThat(reachability.isPartitioned()).isTrue();
  }

  @Test
  void should_ignore_connections_to_addresses_that_are_no_listed_servers() {
    listServers();
    reachability.suspect();
    probe(server -> false);

    reachability.onConnected(
        new ServerEntry("another-instance", "", "h", 1, "north-a", 1, false, 0, 1));

    assertThat(reachability.isPartitioned()).isTrue();
  }

  @Test
  void should_not_count_failed_connections_against_servers_when_partitioned() {
    listServers();
    ServerState server = table.find("shop-north-a-0").orElseThrow();
    server.onUnreachable(true, nowNanos());
    assertThat(server.isAvoided(nowNanos())).isTrue();

    table.onPartitionChanged(true, nowNanos());
    assertThat(server.isAvoided(nowNanos())).isFalse();
    server.onUnreachable(true, nowNanos());
    for (int i = 0; i < 10; i++) {
      server.onLost(nowNanos());
    }
    assertThat(server.isAvoided(nowNanos())).isFalse();

    table.onPartitionChanged(false, nowNanos());
    server.onConnected(3_000, nowNanos());
    assertThat(server.isCold(nowNanos())).isFalse();
    server.onUnreachable(true, nowNanos());
    assertThat(server.isAvoided(nowNanos())).isTrue();
  }

  @Test
  void should_keep_other_ejections_when_a_partition_ends() {
    listServers();
    ServerState server = table.find("shop-north-a-0").orElseThrow();
    server.onUnreachable(false, nowNanos());
    server.onAddressReused(nowNanos());

    table.onPartitionChanged(false, nowNanos());

    assertThat(server.isAvoided(nowNanos())).isTrue();
  }
}
