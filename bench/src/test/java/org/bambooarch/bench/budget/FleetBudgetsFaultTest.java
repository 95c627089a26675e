package org.bambooarch.bench.budget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.bambooarch.bench.budget.Workload.CustomerLoad;
import org.bambooarch.bench.budget.Workload.InstanceSelection;
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
  private static final int SEEDS_TO_BREAK_A_BOUND = 40;
  private static final double SECONDS_WITH_FAULTS = 60;
  private static final double SECONDS_AFTER_FAULTS = 40;

  @Test
  void should_keep_every_bound_and_lose_no_share_when_faults_are_injected_at_random() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      // given, when: the simulation throws if a bound is exceeded
      FleetSimulation simulation = runWithFaults(seed, BudgetSettings.defaults());
      // then
      for (BudgetResource resource : overload().resources()) {
        ShareAmount sum = simulation.sharesHeldByLiveInstances(resource.name());
        assertThat(sum.rateUnits())
            .as("rate of %s, seed %d, %s", resource.name(), seed, simulation.store().row())
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
              for (long seed = 1; seed <= SEEDS_TO_BREAK_A_BOUND; seed++) {
                runWithFaults(seed, unsafe);
              }
            })
        .isInstanceOf(InvariantViolationException.class)
        .hasMessageContaining("expected");
  }

  @Test
  void should_admit_nothing_from_a_reclaimed_share_when_a_process_resumes_after_a_long_pause() {
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
        .isInstanceOf(InvariantViolationException.class)
        .hasMessageContaining("admissions of large");
  }

  /**
   * Sends 20,000 requests per second from the moment when a process resumes whose shares others
   * have taken over during its pause, and returns the number of admissions in the first second.
   */
  private static long admissionsAfterLongPause(BudgetSettings settings) {
    FleetSimulation simulation = new FleetSimulation(1, INSTANCES, settings, highDemand());
    simulation.runSeconds(15);
    simulation.instances().get(0).pause();
    simulation.runSeconds(15);
    simulation.instances().get(0).resume();
    simulation.startTraffic();
    simulation.runSeconds(1);
    return simulation.countsByCustomer().get("large").admitted;
  }

  private static Workload highDemand() {
    BudgetResource limits = new BudgetResource("large", 100, 400);
    return new Workload(
        "high-demand", 1, List.of(new CustomerLoad(limits, 20_000, InstanceSelection.UNIFORM)));
  }

  private static FleetSimulation runWithFaults(long seed, BudgetSettings settings) {
    FleetSimulation simulation = new FleetSimulation(seed, INSTANCES, settings, overload());
    simulation.runSeconds(8);
    simulation.startTraffic();
    RandomFaultInjector faults = new RandomFaultInjector(simulation, seed);
    faults.start();
    simulation.runSeconds(SECONDS_WITH_FAULTS);
    faults.stopAndRecover();
    simulation.runSeconds(SECONDS_AFTER_FAULTS / 2);
    simulation.stopTraffic();
    simulation.runSeconds(SECONDS_AFTER_FAULTS / 2);
    return simulation;
  }

  /** Returns a demand of three times each rate, so that any excess budget is used at once. */
  private static Workload overload() {
    return new Workload(
        "overload",
        60,
        List.of(
            new CustomerLoad(new BudgetResource("large", 40, 60), 120, InstanceSelection.UNIFORM),
            new CustomerLoad(new BudgetResource("small", 3, 5), 9, InstanceSelection.ROTATING)));
  }
}
