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
class ConfigSpreadRandomisedTest {

  private static final long RUN_MILLIS = 300_000;
  private static final long IN_FORCE_LIMIT_MILLIS = 3_000;
  private static final long KEY_FRESHNESS_MILLIS = 10_000;
  private static final long KEY_LIMIT_MILLIS = KEY_FRESHNESS_MILLIS + IN_FORCE_LIMIT_MILLIS;
  private static final long CALM_MILLIS = 15_000;
  private static final long FOR_EVER_MILLIS = 1L << 40;

  /** One run: the fleet, its faults and what is checked. */
  private static final class Run {
    final FakeFleet fleet;
    final Map<Long, ConfigState> statesByVersion = new HashMap<>();
    final Map<String, Long> withdrawnMillisByDigest = new HashMap<>();
    final List<Long> acceptedMillis = new ArrayList<>();
    ConfigState reference = ConfigState.initial();
    long faultUntilMillis = CALM_MILLIS;
    long calmSinceMillis;
    long storeUpSinceMillis;
    int checkedInForce;
    int checkedFreshInOutage;
    int nextKey;

    Run(long seed, long keyFreshnessMillis) {
      this.fleet = new FakeFleet(seed, keyFreshnessMillis * FakeFleet.NANOS_PER_MILLI);
      statesByVersion.put(0L, reference);
    }

    void go() throws ConfigFormatException {
      while (fleet.nowMillis < RUN_MILLIS) {
        injectFaults();
        operate();
        fleet.tick();
        check();
      }
    }

    private void injectFaults() {
      if (fleet.nowMillis < faultUntilMillis) {
        return;
      }
      boolean wasFaulty = calmSinceMillis > fleet.nowMillis;
      fleet.cutOff = "";
      fleet.lossRate = 0;
      if (fleet.store != FakeFleet.Store.UP) {
        storeUpSinceMillis = fleet.nowMillis;
      }
      fleet.store = FakeFleet.Store.UP;
      if (wasFaulty) {
        calmSinceMillis = fleet.nowMillis;
        faultUntilMillis = fleet.nowMillis + fleet.random.nextInt(20_000);
        return;
      }
      calmSinceMillis = Long.MAX_VALUE;
      faultUntilMillis = fleet.nowMillis + 1_000 + fleet.random.nextInt(40_000);
      startFaults();
    }

    private void startFaults() {
      boolean storeOnly = fleet.random.nextInt(3) == 0;
      if (storeOnly || fleet.random.nextBoolean()) {
        FakeFleet.Store[] stores = FakeFleet.Store.values();
        fleet.store = stores[fleet.random.nextInt(stores.length)];
      }
      if (storeOnly) {
        calmSinceMillis = fleet.nowMillis;
        return;
      }
      fleet.lossRate = fleet.random.nextDouble() * 0.3;
      fleet.cutOff = List.of("", "tvm", "kozhikode-a", "kochi-b").get(fleet.random.nextInt(4));
      FakeFleet.Node victim = fleet.nodes.get(fleet.random.nextInt(fleet.nodes.size()));
      if (fleet.random.nextBoolean()) {
        victim.pausedUntilMillis = fleet.nowMillis + fleet.random.nextInt(20_000);
        faultUntilMillis = Math.max(faultUntilMillis, victim.pausedUntilMillis);
      } else {
        victim.restart();
      }
    }

    private void operate() throws ConfigFormatException {
      if (fleet.random.nextInt(20) != 0) {
        return;
      }
      boolean withdraw = nextKey > 0 && fleet.random.nextBoolean();
      String digest = "k" + (withdraw ? fleet.random.nextInt(nextKey) : nextKey++);
      Optional<LoggedChange> change = fleet.commit(withdraw, digest, true);
      if (change.isEmpty()) {
        return;
      }
      reference = reference.apply(new PlainConfigText().readChange(change.get().text()));
      statesByVersion.put(reference.version(), reference);
      acceptedMillis.add(fleet.nowMillis);
      if (withdraw) {
        withdrawnMillisByDigest.putIfAbsent(digest, fleet.nowMillis);
      }
    }

    private void check() {
      for (FakeFleet.Node node : fleet.nodes) {
        if (!node.isPaused()) {
          checkForwardOnly(node);
          checkWithdrawnKeys(node);
          checkCalm(node);
        }
      }
    }

    private void checkForwardOnly(FakeFleet.Node node) {
      ConfigState state = node.spread.state();
      assertThat(state.version()).isGreaterThanOrEqualTo(node.lastVersion);
      if (state.version() != node.lastVersion) {
        assertThat(state).isEqualTo(statesByVersion.get(state.version()));
      }
      node.lastVersion = state.version();
    }

    private void checkWithdrawnKeys(FakeFleet.Node node) {
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

    private void checkCalm(FakeFleet.Node node) {
      long calmMillis = fleet.nowMillis - calmSinceMillis;
      if (calmSinceMillis > fleet.nowMillis || calmMillis < CALM_MILLIS) {
        return;
      }
      assertThat(node.areKeysFresh()).as("keys of %s at %d", node.name, fleet.nowMillis).isTrue();
      boolean storeUp = fleet.store == FakeFleet.Store.UP;
      if (!storeUp) {
        checkedFreshInOutage++;
        return;
      }
      long inForce = node.spread.state().version();
      long due =
          acceptedMillis.stream()
              .filter(at -> fleet.nowMillis - at >= IN_FORCE_LIMIT_MILLIS)
              .count();
      if (fleet.nowMillis - storeUpSinceMillis >= IN_FORCE_LIMIT_MILLIS) {
        checkedInForce++;
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
    Run run = new Run(seed, KEY_FRESHNESS_MILLIS);
    run.go();
    assertThat(run.checkedInForce).isPositive();
  }

  @Test
  void should_use_a_withdrawn_key_too_long_when_keys_never_go_stale() {
    assertThatThrownBy(
            () -> {
              for (long seed = 1; seed <= 20; seed++) {
                new Run(seed, FOR_EVER_MILLIS).go();
              }
            })
        .isInstanceOf(AssertionError.class)
        .hasMessageContaining("withdrawn at");
  }
}
