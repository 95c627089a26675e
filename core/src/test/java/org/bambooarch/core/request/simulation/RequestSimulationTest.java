package org.bambooarch.core.request.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks in seeded simulations that non-idempotent requests run at most once, that refusals as not
 * run are true, that callers get only their own complete responses, that withdrawn keys are refused
 * in time, that no key reaches a target, that no request is dispatched after its dispatch deadline,
 * and that a crashing request crashes at most two servers. Crashes that the sending instance cannot
 * report to others are not counted.
 *
 * <p>With each safeguard disabled in turn, at least one of these invariants must fail, so that a
 * simulation that no longer provokes the fault is noticed.
 */
class RequestSimulationTest {

  private static final int REQUESTS_PER_SEED = 2_000;
  private static final long FIRST_SEED = Long.getLong("bambooarch.run.firstSeed", 1);
  private static final long SEEDS = Long.getLong("bambooarch.run.seeds", 10);
  private static final int SEEDS_PER_FAULT = 5;
  private static final int MAX_SEEDS_TO_VIOLATION = 40;
  private static final int MIN_ANSWERED = REQUESTS_PER_SEED / 2;

  @Test
  void should_keep_all_invariants_when_faults_of_every_kind_are_injected() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      // when
      SimulationContext context = RequestSimulation.run(seed, REQUESTS_PER_SEED, Set.of());
      // then
      assertThat(context.violations).as("seed %d, counts %s", seed, context.counts).isEmpty();
      assertThat(context.counts.get("answered")).as("seed %d", seed).isGreaterThan(MIN_ANSWERED);
      print(seed, context);
    }
  }

  @ParameterizedTest
  @EnumSource
  void should_keep_all_invariants_when_one_kind_of_fault_is_injected(InjectedFault fault) {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS_PER_FAULT; seed++) {
      // when
      SimulationContext context =
          RequestSimulation.run(seed, REQUESTS_PER_SEED, Set.of(), EnumSet.of(fault));
      // then
      assertThat(context.violations).as("seed %d, counts %s", seed, context.counts).isEmpty();
      print(fault, context);
    }
  }

  @Test
  void should_keep_all_invariants_when_no_fault_is_injected() {
    // when
    SimulationContext context =
        RequestSimulation.run(FIRST_SEED, REQUESTS_PER_SEED, Set.of(), Set.of());
    // then
    assertThat(context.violations).isEmpty();
    print("NONE", context);
  }

  @ParameterizedTest
  @EnumSource
  void should_violate_an_invariant_when_a_safeguard_is_disabled(Safeguard safeguard) {
    // given
    Set<Safeguard> disabled = EnumSet.of(safeguard);
    for (long seed = 1; seed <= MAX_SEEDS_TO_VIOLATION; seed++) {
      // when
      SimulationContext context = RequestSimulation.run(seed, REQUESTS_PER_SEED, disabled);
      // then
      if (!context.violations.isEmpty()) {
        return;
      }
    }
    assertThat(false)
        .as("%s is disabled, but no invariant was violated in any seed", safeguard)
        .isTrue();
  }

  private static void print(Object name, SimulationContext context) {
    if (Boolean.getBoolean("bambooarch.run.print")) {
      List<Long> millis = new ArrayList<>(context.responseTimesMillis);
      Collections.sort(millis);
      long p50 = millis.get(millis.size() / 2);
      long p99 = millis.get(millis.size() * 99 / 100);
      System.out.println(
          "run=" + name + " p50=" + p50 + " p99=" + p99 + " tally=" + context.counts);
    }
  }
}
