package org.bambooarch.core.steering.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.bambooarch.core.steering.load.FleetSimulation.Result;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against refusals in a region with few servers while other regions are idle. Its callers
 * ask as much as those of the other regions, and some requests of all regions may run there only.
 * All servers together have capacity for all requests if they are warm for the objects.
 */
class UnevenRegionsTest {

  private static final double QUIET_REQUESTS_PER_SECOND = 80;
  private static final double BOUND_FRACTION = 0.12;
  private static final double DURATION_MILLIS = 30_000;

  private static Result run(long seed) {
    return new FleetSimulation(
            SimulatedDeployment.unevenRegions(QUIET_REQUESTS_PER_SECOND, BOUND_FRACTION), seed)
        .run(DURATION_MILLIS);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void should_refuse_next_to_nothing_when_all_servers_together_have_capacity(long seed) {
    Result result = run(seed);
    assertThat(result.all.refusedFraction()).as("%s", result).isLessThan(0.01);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void should_serve_the_worst_data_centre_nearly_as_well_as_all_when_regions_differ(long seed) {
    Result result = run(seed);
    double worst = Result.worst(result.byDataCentre);
    assertThat(worst).as("%s", result).isGreaterThan(0.9 * result.all.credit());
  }
}
