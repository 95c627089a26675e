package org.bambooarch.bench.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bambooarch.bench.budget.Workload.CustomerLoad;
import org.bambooarch.bench.budget.Workload.InstanceSelection;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.BudgetSettings;
import org.bambooarch.core.budget.ShareAmount;
import org.junit.jupiter.api.Test;

class FleetBudgetsStopTest {

  private final FleetSimulation simulation =
      new FleetSimulation(
          1,
          10,
          BudgetSettings.defaults(),
          new Workload(
              "stop",
              1,
              List.of(
                  new CustomerLoad(
                      new BudgetResource("large", 100, 200), 70, InstanceSelection.UNIFORM))));

  @Test
  void should_hand_over_nearly_all_shares_when_an_instance_leaves() {
    // given
    simulation.runSeconds(15);
    // when
    simulation.instances().get(3).leave();
    simulation.runSeconds(1);
    // then
    ShareAmount held = simulation.instances().get(3).dump().shares().get(0).held();
    assertThat(held.rateUnits() + held.capacityUnits()).isLessThan(ShareAmount.WHOLE / 1_000);
    assertThat(simulation.sharesHeldByLiveInstances("large").rateUnits())
        .isEqualTo(ShareAmount.WHOLE);
  }

  @Test
  void should_regain_the_whole_when_all_instances_restart_at_once() {
    // given
    simulation.runSeconds(15);
    // when
    for (int i = 0; i < 10; i++) {
      simulation.instances().get(i).kill();
      simulation.replaceIfDead(i);
    }
    simulation.runSeconds(15);
    // then
    assertThat(simulation.sharesHeldByLiveInstances("large").rateUnits())
        .isEqualTo(ShareAmount.WHOLE);
    assertThat(simulation.sharesHeldByLiveInstances("large").capacityUnits())
        .isEqualTo(ShareAmount.WHOLE);
  }
}
