package org.bambooarch.core.request.run;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RequestRunTest {

  private static final int REQUESTS_PER_SEED = 2_000;
  private static final long FIRST_SEED = Long.getLong("bambooarch.run.firstSeed", 1);
  private static final long SEEDS = Long.getLong("bambooarch.run.seeds", 10);
  private static final int SEEDS_TO_GO_RED = 40;
  private static final int LEAST_ANSWERED = REQUESTS_PER_SEED / 2;

  @Test
  void should_keep_all_invariants_when_faults_of_every_kind_strike() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      // when
      RunWorld world = RequestRun.run(seed, REQUESTS_PER_SEED, Set.of());
      // then
      assertThat(world.violations).as("seed %d, tally %s", seed, world.tally).isEmpty();
      assertThat(world.tally.get("answered")).as("seed %d", seed).isGreaterThan(LEAST_ANSWERED);
      print(seed, world);
    }
  }

  @ParameterizedTest
  @EnumSource
  void should_go_red_when_a_protection_is_off(Protection protection) {
    // given
    Set<Protection> off = EnumSet.of(protection);
    for (long seed = 1; seed <= SEEDS_TO_GO_RED; seed++) {
      // when
      RunWorld world = RequestRun.run(seed, REQUESTS_PER_SEED, off);
      // then
      if (!world.violations.isEmpty()) {
        return;
      }
    }
    assertThat(false).as("%s is off and nothing was violated", protection).isTrue();
  }

  private static void print(long seed, RunWorld world) {
    if (Boolean.getBoolean("bambooarch.run.print")) {
      System.out.println("seed=" + seed + " tally=" + world.tally);
    }
  }
}
