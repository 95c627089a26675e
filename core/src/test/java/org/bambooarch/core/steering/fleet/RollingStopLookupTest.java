package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bambooarch.core.steering.fleet.RollingStopSimulation.Counts;
import org.bambooarch.core.steering.fleet.RollingStopSimulation.Plan;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class RollingStopLookupTest {

  private static final int SEEDS = Integer.getInteger("rolling-stop.seeds", 10);

  /** Largest share of requests that may go outside the homes; answers may not lack more often. */
  private static final double MAX_SHARE = 1.0 / 20;

  private record Totals(Counts withHomes, Counts withoutHomes) {}

  private static List<Plan> plans() {
    return List.of(
        new Plan(6, 2, 2_000),
        new Plan(6, 2, 1_500),
        new Plan(6, 2, 700),
        new Plan(6, 5, 2_000),
        new Plan(6, 5, 700),
        new Plan(10, 2, 1_500),
        new Plan(10, 3, 2_000),
        new Plan(10, 3, 700),
        new Plan(10, 5, 1_500),
        new Plan(10, 5, 700),
        new Plan(75, 2, 700),
        new Plan(75, 5, 2_000),
        new Plan(75, 5, 1_500),
        new Plan(75, 5, 700));
  }

  private static Totals play(Plan plan) {
    Totals totals = new Totals(new Counts(), new Counts());
    for (int seed = 1; seed <= SEEDS; seed++) {
      RollingStopSimulation simulation = new RollingStopSimulation(plan, seed);
      simulation.run();
      totals.withHomes().add(simulation.withHomes);
      totals.withoutHomes().add(simulation.withoutHomes);
    }
    System.out.printf(
        "%s%n  with homes: %s%n  without: %s%n", plan, totals.withHomes(), totals.withoutHomes());
    return totals;
  }

  // Incident "requests outside their home regions": while instances were stopped in turn, look-ups
  // of hosts with home regions named instances of other regions.
  @ParameterizedTest
  @MethodSource("plans")
  void should_name_no_instance_outside_region_and_homes_when_instances_are_stopped_in_turn(
      Plan plan) {
    assertThat(play(plan).withHomes().outside).isZero();
  }

  // Incident "requests outside their home regions": an instance that had just started named another
  // region although the caller's had ready instances.
  @ParameterizedTest
  @MethodSource("plans")
  void should_name_no_other_region_when_instances_start_beside_ready_ones_of_the_callers_region(
      Plan plan) {
    assertThat(play(plan).withoutHomes().outsideBesideReady).isZero();
  }

  // Incident "requests outside their home regions": a region read as empty although instances that
  // were stopping still accepted requests.
  @ParameterizedTest
  @MethodSource("plans")
  void should_answer_when_an_instance_of_region_or_homes_accepts_requests(Plan plan) {
    Counts withHomes = play(plan).withHomes();

    assertThat((double) withHomes.unansweredBesideAccepting / withHomes.lookups)
        .isLessThanOrEqualTo(MAX_SHARE);
    assertThat((double) withHomes.allClosed / withHomes.lookups).isLessThanOrEqualTo(MAX_SHARE);
  }
}
