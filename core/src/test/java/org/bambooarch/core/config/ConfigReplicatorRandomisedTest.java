package org.bambooarch.core.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs a fleet under random faults and checks after each tick what must always hold. */
class ConfigReplicatorRandomisedTest {

  private static final long RUN_MILLIS = 300_000;
  private static final long IN_FORCE_LIMIT_MILLIS = 3_000;
  private static final long KEY_FRESHNESS_MILLIS = 10_000;
  private static final long KEY_LIMIT_MILLIS = KEY_FRESHNESS_MILLIS + IN_FORCE_LIMIT_MILLIS;
  private static final long SETTLING_MILLIS = 15_000;
  private static final long UNLIMITED_FRESHNESS_MILLIS = 1L << 40;

  /** One run: the fleet, its faults and what is checked. */
  private static final class FaultRun {
    final SimulatedConfigFleet fleet;
    final Map<Long, ConfigState> statesByVersion = new HashMap<>();
    final Map<String, Long> withdrawnMillisByDigest = new HashMap<>();
    final List<Long> acceptedMillis = new ArrayList<>();
    ConfigState reference = ConfigState.initial();
    long faultUntilMillis = SETTLING_MILLIS;
    long faultFreeSinceMillis;
    long storeUpSinceMillis;
    int versionChecks;
    int freshnessChecksDuringOutage;
    int nextKeyNumber;

    FaultRun(long seed, long keyFreshnessMillis) {
      this.fleet =
          new SimulatedConfigFleet(seed, keyFreshnessMillis * SimulatedConfigFleet.NANOS_PER_MILLI);
      statesByVersion.put(0L, reference);
    }

    void run() throws ConfigFormatException {
      while (fleet.nowMillis < RUN_MILLIS) {
        injectFaults();
        changeKeys();
        fleet.tick();
        check();
      }
    }

    private void injectFaults() {
      if (fleet.nowMillis < faultUntilMillis) {
        return;
      }
      boolean wasFaulty = faultFreeSinceMillis > fleet.nowMillis;
      fleet.isolatedPrefix = "";
      fleet.lossRate = 0;
      if (fleet.storeMode != SimulatedConfigFleet.StoreMode.UP) {
        storeUpSinceMillis = fleet.nowMillis;
      }
      fleet.storeMode = SimulatedConfigFleet.StoreMode.UP;
      if (wasFaulty) {
        faultFreeSinceMillis = fleet.nowMillis;
        faultUntilMillis = fleet.nowMillis + fleet.random.nextInt(20_000);
        return;
      }
      faultFreeSinceMillis = Long.MAX_VALUE;
      faultUntilMillis = fleet.nowMillis + 1_000 + fleet.random.nextInt(40_000);
      startFaults();
    }

    private void startFaults() {
      boolean storeFaultOnly = fleet.random.nextInt(3) == 0;
      if (storeFaultOnly || fleet.random.nextBoolean()) {
        SimulatedConfigFleet.StoreMode[] stores = SimulatedConfigFleet.StoreMode.values();
        fleet.storeMode = stores[fleet.random.nextInt(stores.length)];
      }
      if (storeFaultOnly) {
        faultFreeSinceMillis = fleet.nowMillis;
        return;
      }
      fleet.lossRate = fleet.random.nextDouble() * 0.3;
      fleet.isolatedPrefix =
          List.of("", "tvm", "kozhikode-a", "kochi-b").get(fleet.random.nextInt(4));
      SimulatedConfigFleet.Node affected =
          fleet.nodes.get(fleet.random.nextInt(fleet.nodes.size()));
      if (fleet.random.nextBoolean()) {
        affected.pausedUntilMillis = fleet.nowMillis + fleet.random.nextInt(20_000);
        faultUntilMillis = Math.max(faultUntilMillis, affected.pausedUntilMillis);
      } else {
        affected.restart();
      }
    }

    private void changeKeys() throws ConfigFormatException {
      if (fleet.random.nextInt(20) != 0) {
        return;
      }
      boolean withdraw = nextKeyNumber > 0 && fleet.random.nextBoolean();
      String digest = "k" + (withdraw ? fleet.random.nextInt(nextKeyNumber) : nextKeyNumber++);
      Optional<LoggedChange> change = fleet.commit(withdraw, digest, true);
      if (change.isEmpty()) {
        return;
      }
      reference = reference.apply(new KeysOnlyConfigCodec().readChange(change.get().text()));
      statesByVersion.put(reference.version(), reference);
      acceptedMillis.add(fleet.nowMillis);
      if (withdraw) {
        withdrawnMillisByDigest.putIfAbsent(digest, fleet.nowMillis);
      }
    }

    private void check() {
      for (SimulatedConfigFleet.Node node : fleet.nodes) {
        if (!node.isPaused()) {
          checkForwardOnly(node);
          checkWithdrawnKeys(node);
          checkWithoutFaults(node);
        }
      }
    }

    private void checkForwardOnly(SimulatedConfigFleet.Node node) {
      ConfigState state = node.replicator.state();
      assertThat(state.version()).isGreaterThanOrEqualTo(node.lastVersion);
      if (state.version() != node.lastVersion) {
        assertThat(state).isEqualTo(statesByVersion.get(state.version()));
      }
      node.lastVersion = state.version();
    }

    private void checkWithdrawnKeys(SimulatedConfigFleet.Node node) {
      withdrawnMillisByDigest.forEach(
          (digest, atMillis) -> {
            if (fleet.nowMillis - atMillis > KEY_LIMIT_MILLIS) {
              assertThat(node.accepts(digest))
                  .as(
                      "%s uses %s, withdrawn at %d, at %d",
                      node.name, digest, atMillis, fleet.nowMillis)
                  .isFalse();
            }
          });
    }

    private void checkWithoutFaults(SimulatedConfigFleet.Node node) {
      long faultFreeMillis = fleet.nowMillis - faultFreeSinceMillis;
      if (faultFreeSinceMillis > fleet.nowMillis || faultFreeMillis < SETTLING_MILLIS) {
        return;
      }
      assertThat(node.areKeysFresh()).as("keys of %s at %d", node.name, fleet.nowMillis).isTrue();
      boolean storeUp = fleet.storeMode == SimulatedConfigFleet.StoreMode.UP;
      if (!storeUp) {
        freshnessChecksDuringOutage++;
        return;
      }
      long inForce = node.replicator.state().version();
      long due =
          acceptedMillis.stream()
              .filter(at -> fleet.nowMillis - at >= IN_FORCE_LIMIT_MILLIS)
              .count();
      if (fleet.nowMillis - storeUpSinceMillis >= IN_FORCE_LIMIT_MILLIS) {
        versionChecks++;
        assertThat(inForce)
            .as("version of %s at %d", node.name, fleet.nowMillis)
            .isGreaterThanOrEqualTo(due);
      }
    }
  }

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 20);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void should_hold_all_invariants_when_faults_come_at_random(long seed) throws Exception {
    FaultRun run = new FaultRun(seed, KEY_FRESHNESS_MILLIS);
    run.run();
    assertThat(run.versionChecks).isPositive();
  }

  @Test
  void should_use_a_withdrawn_key_too_long_when_keys_never_go_stale() {
    assertThatThrownBy(
            () -> {
              for (long seed = 1; seed <= 20; seed++) {
                new FaultRun(seed, UNLIMITED_FRESHNESS_MILLIS).run();
              }
            })
        .isInstanceOf(AssertionError.class)
        .hasMessageContaining("withdrawn at");
  }
}
