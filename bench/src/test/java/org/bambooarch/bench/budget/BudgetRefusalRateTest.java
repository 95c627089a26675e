package org.bambooarch.bench.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.bambooarch.bench.budget.Workload.CustomerLoad;
import org.bambooarch.bench.budget.Workload.InstanceSelection;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.BudgetSettings;
import org.junit.jupiter.api.Test;

/**
 * Checks the target that at most one in a thousand requests is refused of a customer that sends 70%
 * of its rate.
 */
class BudgetRefusalRateTest {

  private static final double MAX_REFUSED_SHARE = 0.001;
  private static final double MEASURED_SECONDS = 40;
  private static final double START_UP_SECONDS = 15;

  @Test
  void should_refuse_at_most_one_in_a_thousand_when_callers_use_all_instances() {
    assertRefusalsWithinTarget(
        run(InstanceSelection.UNIFORM, 0.7, simulation -> simulation.runSeconds(MEASURED_SECONDS)));
  }

  @Test
  void should_refuse_at_most_one_in_a_thousand_when_all_callers_use_one_instance() {
    assertRefusalsWithinTarget(
        run(
            InstanceSelection.ONE_INSTANCE,
            0.7,
            simulation -> simulation.runSeconds(MEASURED_SECONDS)));
  }

  @Test
  void should_protect_the_others_when_one_customer_sends_five_times_its_rate() {
    // when
    FleetSimulation simulation =
        run(InstanceSelection.UNIFORM, 5, running -> running.runSeconds(MEASURED_SECONDS));
    // then
    assertRefusalsWithinTarget(simulation);
    CustomerCounts aggressor = simulation.countsByCustomer().get("aggressor");
    assertThat(aggressor.refused).isGreaterThanOrEqualTo(aggressor.idealRefused);
  }

  @Test
  void should_refuse_at_most_one_in_a_thousand_when_an_instance_dies() {
    assertRefusalsWithinTarget(
        run(
            InstanceSelection.UNIFORM,
            0.7,
            simulation -> {
              simulation.runSeconds(MEASURED_SECONDS / 2);
              simulation.instances().get(0).kill();
              simulation.runSeconds(MEASURED_SECONDS / 2);
            }));
  }

  @Test
  void should_refuse_at_most_one_in_a_thousand_when_the_store_is_down() {
    assertRefusalsWithinTarget(
        run(
            InstanceSelection.ROTATING,
            0.7,
            simulation -> {
              simulation.store().setAvailable(false);
              simulation.runSeconds(MEASURED_SECONDS);
            }));
  }

  private static FleetSimulation run(
      InstanceSelection selection, double aggressorDemandRatio, Consumer<FleetSimulation> faults) {
    List<CustomerLoad> loads = new ArrayList<>();
    loads.add(
        new CustomerLoad(
            new BudgetResource("aggressor", 50, 100), 50 * aggressorDemandRatio, selection));
    loads.add(new CustomerLoad(new BudgetResource("large", 200, 400), 140, selection));
    loads.add(new CustomerLoad(new BudgetResource("medium", 40, 80), 28, selection));
    Workload workload = new Workload("target", (long) MEASURED_SECONDS, loads);
    FleetSimulation simulation = new FleetSimulation(1, 10, BudgetSettings.defaults(), workload);
    simulation.runSeconds(START_UP_SECONDS);
    simulation.startTraffic();
    faults.accept(simulation);
    return simulation;
  }

  private static void assertRefusalsWithinTarget(FleetSimulation simulation) {
    for (String customer : List.of("large", "medium")) {
      CustomerCounts counts = simulation.countsByCustomer().get(customer);
      assertThat(counts.sent).as(customer).isGreaterThan(500);
      assertThat(counts.refusedShare()).as(customer).isLessThanOrEqualTo(MAX_REFUSED_SHARE);
    }
  }
}
