package org.bambooarch.bench.budget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.bambooarch.bench.budget.Scenario.Load;
import org.bambooarch.bench.budget.Scenario.Spread;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.BudgetSettings;
import org.bambooarch.core.budget.BudgetSettings.Protection;
import org.bambooarch.core.budget.ShareAmount;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.EnumSource.Mode;

class FleetBudgetsFaultTest {

  private static final int INSTANCES = 10;
  private static final int SEEDS = 10;
  private static final int SEEDS_TO_FIND_A_FAULT = 40;
  private static final double FAULTY_SECONDS = 60;
  private static final double CALM_SECONDS = 40;

  @Test
  void should_keep_every_bound_and_lose_no_share_when_faults_strike_at_random() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      // given, when: the trial itself throws when a bound is broken
      FleetTrial trial = runWithFaults(seed, BudgetSettings.defaults());
      // then
      for (BudgetResource resource : overload().resources()) {
        ShareAmount sum = trial.heldByLiving(resource.name());
        assertThat(sum.rateUnits())
            .as("rate of %s, seed %d, %s", resource.name(), seed, trial.store().row())
            .isEqualTo(ShareAmount.WHOLE);
        assertThat(sum.capacityUnits())
            .as("capacity of %s, seed %d", resource.name(), seed)
            .isEqualTo(ShareAmount.WHOLE);
      }
    }
  }

  @ParameterizedTest
  @EnumSource(value = Protection.class, mode = Mode.EXCLUDE, names = "DEADLINE_AT_ADMIT")
  void should_break_a_bound_when_a_protection_is_switched_off(Protection protection) {
    // given
    BudgetSettings unsafe = BudgetSettings.defaults().without(protection);
    // when, then
    assertThatThrownBy(
            () -> {
              for (long seed = 1; seed <= SEEDS_TO_FIND_A_FAULT; seed++) {
                runWithFaults(seed, unsafe);
              }
            })
        .isInstanceOf(InvariantException.class)
        .hasMessageContaining("expected");
  }

  @Test
  void should_admit_nothing_from_a_reclaimed_share_when_a_process_wakes_after_a_long_pause() {
    // given, when
    long admitted = admissionsAfterLongPause(BudgetSettings.defaults());
    // then
    assertThat(admitted).isPositive();
  }

  @Test
  void should_break_the_bound_after_a_long_pause_when_the_deadline_is_not_checked() {
    // given
    BudgetSettings unsafe = BudgetSettings.defaults().without(Protection.DEADLINE_AT_ADMIT);
    // when, then
    assertThatThrownBy(() -> admissionsAfterLongPause(unsafe))
        .isInstanceOf(InvariantException.class)
        .hasMessageContaining("admissions of large");
  }

  /** Floods the fleet at the moment when a process wakes whose shares others hold by now. */
  private static long admissionsAfterLongPause(BudgetSettings settings) {
    FleetTrial trial = new FleetTrial(1, INSTANCES, settings, flood());
    trial.runSeconds(15);
    trial.nodes().get(0).pause();
    trial.runSeconds(15);
    trial.nodes().get(0).resume();
    trial.startTraffic();
    trial.runSeconds(1);
    return trial.tallies().get("large").admitted;
  }

  private static Scenario flood() {
    BudgetResource limits = new BudgetResource("large", 100, 400);
    return new Scenario("flood", 1, List.of(new Load(limits, 20_000, Spread.UNIFORM)));
  }

  private static FleetTrial runWithFaults(long seed, BudgetSettings settings) {
    FleetTrial trial = new FleetTrial(seed, INSTANCES, settings, overload());
    trial.runSeconds(8);
    trial.startTraffic();
    FaultSchedule faults = new FaultSchedule(trial, seed);
    faults.start();
    trial.runSeconds(FAULTY_SECONDS);
    faults.heal();
    trial.runSeconds(CALM_SECONDS / 2);
    trial.stopTraffic();
    trial.runSeconds(CALM_SECONDS / 2);
    return trial;
  }

  /** Every customer asks for more than its rate, so that any budget too many is used at once. */
  private static Scenario overload() {
    return new Scenario(
        "overload",
        60,
        List.of(
            new Load(new BudgetResource("large", 40, 60), 120, Spread.UNIFORM),
            new Load(new BudgetResource("small", 3, 5), 9, Spread.WANDERING)));
  }
}
