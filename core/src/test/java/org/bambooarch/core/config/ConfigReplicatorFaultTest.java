package org.bambooarch.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigReplicatorFaultTest {

  private static final long SEED = 7;
  private static final long KEY_FRESHNESS_MILLIS = 10_000;
  private static final long KEY_LIMIT_MILLIS = 13_000;

  private final SimulatedConfigFleet fleet =
      new SimulatedConfigFleet(SEED, KEY_FRESHNESS_MILLIS * SimulatedConfigFleet.NANOS_PER_MILLI);

  @BeforeEach
  void issueKey() {
    fleet.commit(false, "k0", true);
    runMillis(5_000);
  }

  private void runMillis(long millis) {
    long untilMillis = fleet.nowMillis + millis;
    while (fleet.nowMillis < untilMillis) {
      fleet.tick();
    }
  }

  /** Returns the data centres in which any instance accepts the key. */
  private List<String> dataCentresAcceptingKey() {
    return fleet.nodes.stream()
        .filter(node -> node.accepts("k0"))
        .map(node -> node.dataCentre)
        .distinct()
        .sorted()
        .toList();
  }

  @Test
  void should_keep_accepting_keys_when_the_store_is_down_for_everyone() {
    for (SimulatedConfigFleet.StoreMode outage :
        List.of(SimulatedConfigFleet.StoreMode.REFUSING, SimulatedConfigFleet.StoreMode.HANGING)) {
      // given
      fleet.storeMode = outage;
      // when / then
      for (int minute = 0; minute < 10; minute++) {
        runMillis(60_000);
        assertThat(fleet.nodes).allMatch(node -> node.accepts("k0"));
      }
    }
  }

  @Test
  void should_apply_an_announced_withdrawal_when_the_store_goes_down_right_after() {
    // given
    fleet.commit(true, "k0", true);
    // when
    fleet.storeMode = SimulatedConfigFleet.StoreMode.HANGING;
    runMillis(KEY_LIMIT_MILLIS);
    // then
    assertThat(dataCentresAcceptingKey()).isEmpty();
  }

  @Test
  void should_miss_a_withdrawal_that_was_not_announced_when_the_store_goes_down_right_after() {
    // given
    fleet.commit(true, "k0", false);
    // when
    fleet.storeMode = SimulatedConfigFleet.StoreMode.HANGING;
    runMillis(KEY_LIMIT_MILLIS);
    // then: no instance learns of the withdrawal before the outage ends, because it was not
    // announced; this is why changes are announced
    assertThat(dataCentresAcceptingKey()).isNotEmpty();
    fleet.storeMode = SimulatedConfigFleet.StoreMode.UP;
    runMillis(3_000);
    assertThat(dataCentresAcceptingKey()).isEmpty();
  }

  @Test
  void should_start_from_peers_when_the_store_is_down() {
    // given
    fleet.storeMode = SimulatedConfigFleet.StoreMode.HANGING;
    runMillis(30_000);
    SimulatedConfigFleet.Node restarted = fleet.nodes.get(3);
    // when
    restarted.restart();
    runMillis(5_000);
    // then
    assertThat(restarted.replicator.state().version()).isEqualTo(1);
    assertThat(restarted.accepts("k0")).isTrue();
  }

  @Test
  void should_start_from_a_snapshot_when_peers_retain_too_few_changes() {
    // given
    for (int key = 1; key <= 3_000; key++) {
      fleet.commit(false, "k" + key, false);
      if (key % 500 == 0) {
        runMillis(3_000);
      }
    }
    fleet.storeMode = SimulatedConfigFleet.StoreMode.HANGING;
    runMillis(10_000);
    SimulatedConfigFleet.Node restarted = fleet.nodes.get(3);
    // when
    restarted.restart();
    runMillis(10_000);
    // then
    assertThat(restarted.replicator.state()).isEqualTo(fleet.nodes.get(4).replicator.state());
    assertThat(restarted.replicator.state().version()).isEqualTo(3_001);
  }

  @Test
  void should_stop_accepting_keys_when_a_region_is_cut_off() {
    // given
    fleet.isolatedPrefix = "tvm";
    // when
    runMillis(KEY_LIMIT_MILLIS);
    // then
    assertThat(dataCentresAcceptingKey())
        .containsExactly("kochi-a", "kochi-b", "kozhikode-a", "kozhikode-b");
  }

  @Test
  void should_stop_accepting_keys_when_only_one_data_centre_attests_an_outage() {
    // given: the instances of kochi-b reach neither the store nor other data centres
    fleet.isolatedPrefix = "kochi-b";
    // when
    runMillis(KEY_LIMIT_MILLIS);
    // then
    assertThat(dataCentresAcceptingKey()).doesNotContain("kochi-b").contains("kochi-a", "tvm-a");
  }

  @Test
  void should_stop_accepting_keys_when_cut_off_during_an_outage_of_the_store() {
    // given
    fleet.storeMode = SimulatedConfigFleet.StoreMode.REFUSING;
    runMillis(60_000);
    // when
    fleet.isolatedPrefix = "tvm";
    runMillis(KEY_LIMIT_MILLIS);
    // then
    assertThat(dataCentresAcceptingKey())
        .containsExactly("kochi-a", "kochi-b", "kozhikode-a", "kozhikode-b");
  }

  @Test
  void should_accept_keys_again_when_an_operator_attests_that_nothing_is_withdrawn() {
    // given
    fleet.isolatedPrefix = "tvm";
    runMillis(KEY_LIMIT_MILLIS);
    SimulatedConfigFleet.Node attesting =
        fleet.nodes.stream().filter(node -> node.dataCentre.equals("tvm-a")).findFirst().get();
    // when
    long untilNanos = attesting.monotonicNanos() + 60_000 * SimulatedConfigFleet.NANOS_PER_MILLI;
    attesting.replicator.attestStoreDown(untilNanos);
    runMillis(3_000);
    boolean acceptedBefore = attesting.accepts("k0");
    runMillis(60_000 + KEY_LIMIT_MILLIS);
    // then
    assertThat(acceptedBefore).isTrue();
    assertThat(attesting.accepts("k0")).isFalse();
  }

  @Test
  void should_ignore_the_ages_of_a_statement_when_its_probe_is_unknown() {
    // given
    SimulatedConfigFleet.Node node = fleet.nodes.get(4);
    long before = node.replicator.keysFreshUntilNanos().getAsLong();
    // when: a statement with ages of 0 answers a probe that this process never sent
    ConfigMessage unrequested = new ConfigMessage.HeadStatement(1, 1, 1, 0, 0, 0);
    fleet.nowMillis += 60_000;
    node.replicator.receive("instance-0", unrequested);
    // then
    assertThat(node.replicator.keysFreshUntilNanos()).hasValue(before);
  }

  @Test
  void should_ignore_the_confirmation_when_the_table_was_restored_to_an_older_state() {
    // given
    SimulatedConfigFleet.Node node = fleet.nodes.get(0);
    long before = node.replicator.keysFreshUntilNanos().getAsLong();
    // when
    fleet.nowMillis += 1_000;
    StoreRead read = new StoreRead(node.monotonicNanos(), 1);
    node.replicator.onStoreRead(read, new StoreReadResult(0, Optional.empty(), List.of()));
    // then
    assertThat(node.replicator.keysFreshUntilNanos()).hasValue(before);
    assertThat(node.replicator.status().storeReadsBehind()).isEqualTo(1);
    assertThat(node.replicator.state().version()).isEqualTo(1);
  }

  @Test
  void should_stay_at_its_version_when_the_next_change_is_unreadable() {
    // given
    SimulatedConfigFleet.Node node = fleet.nodes.get(0);
    long before = node.replicator.keysFreshUntilNanos().getAsLong();
    LoggedChange newer = new LoggedChange(2, "?:unknown");
    // when
    fleet.nowMillis += 1_000;
    StoreRead read = new StoreRead(node.monotonicNanos(), 1);
    node.replicator.onStoreRead(read, new StoreReadResult(2, Optional.empty(), List.of(newer)));
    // then
    assertThat(node.replicator.state().version()).isEqualTo(1);
    assertThat(node.replicator.keysFreshUntilNanos()).hasValue(before);
    assertThat(node.replicator.status().unreadableChanges()).isEqualTo(1);
  }
}
