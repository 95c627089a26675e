package org.bambooarch.bench.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bambooarch.bench.budget.Scenario.Load;
import org.bambooarch.bench.budget.Scenario.Spread;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.BudgetSettings;
import org.bambooarch.core.budget.ShareAmount;
import org.junit.jupiter.api.Test;

class FleetBudgetsStopTest {

  private final FleetTrial trial =
      new FleetTrial(
          1,
          10,
          BudgetSettings.defaults(),
          new Scenario(
              "stop",
              1,
              List.of(new Load(new BudgetResource("large", 100, 200), 70, Spread.UNIFORM))));

  @Test
  void should_give_everything_away_when_an_instance_leaves() {
    // given
    trial.runSeconds(15);
    // when
    trial.nodes().get(3).leave();
    trial.runSeconds(1);
    // then
    ShareAmount held = trial.nodes().get(3).dump().shares().get(0).held();
    assertThat(held.rateUnits() + held.capacityUnits()).isLessThan(ShareAmount.WHOLE / 1_000);
    assertThat(trial.heldByLiving("large").rateUnits()).isEqualTo(ShareAmount.WHOLE);
  }

  @Test
  void should_regain_the_whole_when_all_instances_restart_at_once() {
    // given
    trial.runSeconds(15);
    // when
    for (int i = 0; i < 10; i++) {
      trial.nodes().get(i).kill();
      trial.replace(i);
    }
    trial.runSeconds(15);
    // then
    assertThat(trial.heldByLiving("large").rateUnits()).isEqualTo(ShareAmount.WHOLE);
    assertThat(trial.heldByLiving("large").capacityUnits()).isEqualTo(ShareAmount.WHOLE);
  }
}
