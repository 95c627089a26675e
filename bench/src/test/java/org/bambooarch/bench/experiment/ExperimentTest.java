package org.bambooarch.bench.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ExperimentTest {

  private static final Scenario SMALL =
      Scenario.of("small", 0.15, new Scenario.Fault.RegionDown(8, 18));

  @Test
  void should_print_the_same_table_when_the_seed_is_the_same() {
    // when
    String first = tableOf(7);
    String second = tableOf(7);
    // then
    assertThat(first).isEqualTo(second).contains("bambooarch");
    assertThat(tableOf(8)).isNotEqualTo(first);
  }

  @Test
  void should_serve_all_requests_that_reach_an_instance_when_load_is_low() {
    // when
    Results results =
        new Simulation(Deployment.blueMahoe(), Scenario.of("low-load", 0.15), Policy.BAMBOOARCH, 3)
            .run();
    // then
    assertThat(results.refusedPercent()).isZero();
    assertThat(results.failedPercent()).isZero();
    assertThat(results.windowsOverCap).isZero();
  }

  @Test
  void should_count_the_windows_over_the_cap_when_a_link_is_overfilled() {
    // given
    LinkMeter meter = new LinkMeter(1_000_000_000L, 1_000);
    // when
    meter.add(500_000_000L, 101);
    // then
    assertThat(meter.windowsOverCap()).isEqualTo(10);
    assertThat(meter.peakUtilization()).isEqualTo(1.01);
  }

  private static String tableOf(long seed) {
    Experiment experiment = new Experiment(Deployment.blueMahoe(), List.of(SMALL), seed);
    experiment.run();
    return experiment.table().csv();
  }
}
