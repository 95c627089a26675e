package org.bambooarch.bench.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.bambooarch.bench.budget.Scenario.Load;
import org.bambooarch.bench.budget.Scenario.Spread;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.BudgetSettings;
import org.junit.jupiter.api.Test;

/** The target: at most one in a thousand requests of a well-behaved customer is refused. */
class BudgetTargetTest {

  private static final double MOST_REFUSED = 0.001;
  private static final double SECONDS = 40;
  private static final double STARTING_SECONDS = 15;

  @Test
  void should_refuse_next_to_nothing_when_callers_use_all_instances() {
    assertTargetMet(run(Spread.UNIFORM, 0.7, trial -> trial.runSeconds(SECONDS)));
  }

  @Test
  void should_refuse_next_to_nothing_when_all_callers_use_one_instance() {
    assertTargetMet(run(Spread.ONE_INSTANCE, 0.7, trial -> trial.runSeconds(SECONDS)));
  }

  @Test
  void should_protect_the_others_when_one_customer_sends_five_times_its_rate() {
    // when
    FleetTrial trial = run(Spread.UNIFORM, 5, each -> each.runSeconds(SECONDS));
    // then
    assertTargetMet(trial);
    CustomerTally aggressor = trial.tallies().get("aggressor");
    assertThat(aggressor.refused).isGreaterThanOrEqualTo(aggressor.idealRefused);
  }

  @Test
  void should_refuse_next_to_nothing_when_an_instance_dies() {
    assertTargetMet(
        run(
            Spread.UNIFORM,
            0.7,
            trial -> {
              trial.runSeconds(SECONDS / 2);
              trial.nodes().get(0).kill();
              trial.runSeconds(SECONDS / 2);
            }));
  }

  @Test
  void should_refuse_next_to_nothing_when_the_store_is_down() {
    assertTargetMet(
        run(
            Spread.WANDERING,
            0.7,
            trial -> {
              trial.store().setUp(false);
              trial.runSeconds(SECONDS);
            }));
  }

  private static FleetTrial run(Spread spread, double firstUse, Consumer<FleetTrial> course) {
    List<Load> loads = new ArrayList<>();
    loads.add(new Load(new BudgetResource("aggressor", 50, 100), 50 * firstUse, spread));
    loads.add(new Load(new BudgetResource("large", 200, 400), 140, spread));
    loads.add(new Load(new BudgetResource("medium", 40, 80), 28, spread));
    Scenario scenario = new Scenario("target", (long) SECONDS, loads);
    FleetTrial trial = new FleetTrial(1, 10, BudgetSettings.defaults(), scenario);
    trial.runSeconds(STARTING_SECONDS);
    trial.startTraffic();
    course.accept(trial);
    return trial;
  }

  private static void assertTargetMet(FleetTrial trial) {
    for (String customer : List.of("large", "medium")) {
      CustomerTally tally = trial.tallies().get(customer);
      assertThat(tally.sent).as(customer).isGreaterThan(500);
      assertThat(tally.refusedShare()).as(customer).isLessThanOrEqualTo(MOST_REFUSED);
    }
  }
}
