package org.bambooarch.core.steering.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a fleet whose servers never become warm for their objects at peak load: they have
 * capacity for all requests if they are warm for the objects, and for half of them if they are not.
 * That comes about if the requests for an object are spread over all servers, where each object
 * evicts others.
 */
class WarmObjectsUnderPeakLoadTest {

  /** Four servers of five slots handle 75 warm requests per second, or 23 cold ones. */
  private static final double PEAK_REQUESTS_PER_SECOND = 45;

  private static final long DURATION_MILLIS = 30_000;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void should_answer_twice_as_many_in_time_as_least_loaded_when_peak_load_finds_cold_objects(
      long seed) {
    PeakLoadSimulation.Result chooser =
        new PeakLoadSimulation(seed, PeakLoadSimulation.serverChooser())
            .run(PEAK_REQUESTS_PER_SECOND, DURATION_MILLIS);
    PeakLoadSimulation.Result baseline =
        new PeakLoadSimulation(seed, PeakLoadSimulation.leastLoaded())
            .run(PEAK_REQUESTS_PER_SECOND, DURATION_MILLIS);

    assertThat(chooser.inTime())
        .as("server chooser %s, least loaded %s", chooser, baseline)
        .isGreaterThan(2 * baseline.inTime());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void should_answer_most_requests_in_time_when_warm_servers_have_capacity_for_all(long seed) {
    PeakLoadSimulation.Result chooser =
        new PeakLoadSimulation(seed, PeakLoadSimulation.serverChooser())
            .run(PEAK_REQUESTS_PER_SECOND, DURATION_MILLIS);

    assertThat(chooser.inTime()).as("%s", chooser).isGreaterThan(chooser.asked() / 2);
  }
}
