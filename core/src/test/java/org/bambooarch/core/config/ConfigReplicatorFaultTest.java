package org.bambooarch.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigReplicatorFaultTest {

  private static final long SEED = 7;
  private static final long KEY_FRESHNESS_MILLIS = 10_000;
  private static final long LIMIT_MILLIS = 13_000;

  private final SimulatedConfigFleet fleet =
      new SimulatedConfigFleet(SEED, KEY_FRESHNESS_MILLIS * SimulatedConfigFleet.NANOS_PER_MILLI);

  @BeforeEach
  void issueKey() {
    fleet.commit(false, "k0", true);
    run(5_000);
  }

  private void run(long millis) {
    long untilMillis = fleet.nowMillis + millis;
    while (fleet.nowMillis < untilMillis) {
      fleet.tick();
    }
  }

  private List<String> accepting() {
    return fleet.nodes.stream()
        .filter(node -> node.accepts("k0"))
        .map(node -> node.dataCentre)
        .distinct()
        .sorted()
        .toList();
  }

  @Test
  void should_go_on_accepting_keys_when_the_store_is_down_for_everyone() {
    for (SimulatedConfigFleet.StoreMode outage :
        List.of(SimulatedConfigFleet.StoreMode.REFUSING, SimulatedConfigFleet.StoreMode.HANGING)) {
      // given
      fleet.storeMode = outage;
      // when / then
      for (int minute = 0; minute < 10; minute++) {
        run(60_000);
        assertThat(fleet.nodes).allMatch(node -> node.accepts("k0"));
      }
    }
  }

  @Test
  void should_put_an_announced_withdrawal_in_force_when_the_store_goes_down_right_after() {
    // given
    fleet.commit(true, "k0", true);
    // when
    fleet.storeMode = SimulatedConfigFleet.StoreMode.HANGING;
    run(LIMIT_MILLIS);
    // then
    assertThat(accepting()).isEmpty();
  }

  @Test
  void should_miss_a_withdrawal_that_was_not_announced_when_the_store_goes_down_right_after() {
    // given
    fleet.commit(true, "k0", false);
    // when
    fleet.storeMode = SimulatedConfigFleet.StoreMode.HANGING;
    run(LIMIT_MILLIS);
    // then: this is the gap that announcing closes; the change is not lost
    assertThat(accepting()).isNotEmpty();
    fleet.storeMode = SimulatedConfigFleet.StoreMode.UP;
    run(3_000);
    assertThat(accepting()).isEmpty();
  }

  @Test
  void should_boot_from_peers_when_the_store_is_down() {
    // given
    fleet.storeMode = SimulatedConfigFleet.StoreMode.HANGING;
    run(30_000);
    SimulatedConfigFleet.Node restarted = fleet.nodes.get(3);
    // when
    restarted.restart();
    run(5_000);
    // then
    assertThat(restarted.replicator.state().version()).isEqualTo(1);
    assertThat(restarted.accepts("k0")).isTrue();
  }

  @Test
  void should_boot_by_snapshot_when_peers_keep_too_few_changes() {
    // given
    for (int key = 1; key <= 3_000; key++) {
      fleet.commit(false, "k" + key, false);
      if (key % 500 == 0) {
        run(3_000);
      }
    }
    fleet.storeMode = SimulatedConfigFleet.StoreMode.HANGING;
    run(10_000);
    SimulatedConfigFleet.Node restarted = fleet.nodes.get(3);
    // when
    restarted.restart();
    run(10_000);
    // then
    assertThat(restarted.replicator.state()).isEqualTo(fleet.nodes.get(4).replicator.state());
    assertThat(restarted.replicator.state().version()).isEqualTo(3_001);
  }

  @Test
  void should_stop_accepting_keys_when_a_region_is_cut_off() {
    // given
    fleet.isolatedPrefix = "tvm";
    // when
    run(LIMIT_MILLIS);
    // then
    assertThat(accepting()).containsExactly("kochi-a", "kochi-b", "kozhikode-a", "kozhikode-b");
  }

  @Test
  void should_stop_accepting_keys_when_only_one_data_centre_attests_an_outage() {
    // given: kochi-b and its neighbours see neither the store nor anyone else
    fleet.isolatedPrefix = "kochi-b";
    // when
    run(LIMIT_MILLIS);
    // then
    assertThat(accepting()).doesNotContain("kochi-b").contains("kochi-a", "tvm-a");
  }

  @Test
  void should_stop_accepting_keys_when_cut_off_during_an_outage_of_the_store() {
    // given
    fleet.storeMode = SimulatedConfigFleet.StoreMode.REFUSING;
    run(60_000);
    // when
    fleet.isolatedPrefix = "tvm";
    run(LIMIT_MILLIS);
    // then
    assertThat(accepting()).containsExactly("kochi-a", "kochi-b", "kozhikode-a", "kozhikode-b");
  }

  @Test
  void should_accept_keys_again_when_an_operator_attests_that_nothing_is_withdrawn() {
    // given
    fleet.isolatedPrefix = "tvm";
    run(LIMIT_MILLIS);
    SimulatedConfigFleet.Node attesting =
        fleet.nodes.stream().filter(node -> node.dataCentre.equals("tvm-a")).findFirst().get();
    // when
    long untilNanos = attesting.monotonicNanos() + 60_000 * SimulatedConfigFleet.NANOS_PER_MILLI;
    attesting.replicator.attestStoreDown(untilNanos);
    run(3_000);
    boolean acceptedBefore = attesting.accepts("k0");
    run(60_000 + LIMIT_MILLIS);
    // then
    assertThat(acceptedBefore).isTrue();
    assertThat(attesting.accepts("k0")).isFalse();
  }

  @Test
  void should_count_the_age_of_a_statement_from_the_probe_when_it_arrives_late() {
    // given
    SimulatedConfigFleet.Node node = fleet.nodes.get(4);
    long before = node.replicator.keysFreshUntilNanos().getAsLong();
    // when: an answer to a probe that this process never sent claims to be fresh
    ConfigMessage stray = new ConfigMessage.HeadStatement(1, 1, 1, 0, 0, 0);
    fleet.nowMillis += 60_000;
    node.replicator.receive("instance-0", stray);
    // then
    assertThat(node.replicator.keysFreshUntilNanos()).hasValue(before);
  }

  @Test
  void should_take_no_proof_from_a_table_that_went_back_in_time() {
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
  void should_stay_at_its_version_when_it_cannot_read_the_next_change() {
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
