package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.bambooarch.core.steering.fleet.RollingStopSimulation.Counts;
import org.bambooarch.core.steering.fleet.RollingStopSimulation.Plan;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RollingStopLookupTest {

  private static final int SEEDS = Integer.getInteger("rolling-stop.seeds", 3);

  // Incident "requests outside their home regions": while instances were stopped in turn, look-ups
  // of hosts with home regions named instances of other regions.
  @ParameterizedTest
  @CsvSource({
    "6, 2, 2000", "6, 2, 1500", "6, 2, 700", "6, 5, 2000", "6, 5, 700",
    "10, 2, 1500", "10, 3, 2000", "10, 3, 700", "10, 5, 1500", "10, 5, 700",
    "75, 2, 700", "75, 5, 2000", "75, 5, 1500", "75, 5, 700"
  })
  void should_name_no_instance_outside_region_and_homes_when_instances_are_stopped_in_turn(
      int instances, int regions, long stopIntervalMillis) {
    Counts withHomes = new Counts();
    Counts withoutHomes = new Counts();
    for (int seed = 1; seed <= SEEDS; seed++) {
      RollingStopSimulation simulation =
          new RollingStopSimulation(new Plan(instances, regions, stopIntervalMillis, seed));
      simulation.run();
      withHomes.add(simulation.withHomes);
      withoutHomes.add(simulation.withoutHomes);
    }
    System.out.printf(
        "instances=%d regions=%d stop-interval-millis=%d%n  with homes: %s%n  without: %s%n",
        instances, regions, stopIntervalMillis, withHomes, withoutHomes);

    assertThat(withHomes.outside).isZero();
  }
}
