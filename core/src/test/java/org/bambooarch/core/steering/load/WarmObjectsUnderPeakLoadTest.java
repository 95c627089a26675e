package org.bambooarch.core.steering.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The rush at which a fleet stays cold: the servers have room for all requests if they know the
 * objects, and for half of them if they don't.
 */
class WarmObjectsUnderPeakLoadTest {

  /** Four servers of five slots carry 75 warm requests a second, and 23 cold ones. */
  private static final double PEAK_REQUESTS_PER_SECOND = 45;

  private static final long DURATION_MILLIS = 30_000;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void should_answer_more_in_time_than_least_loaded_when_the_rush_finds_cold_servers(long seed) {
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
  void should_answer_most_requests_in_time_when_there_is_room_for_warm_ones(long seed) {
    PeakLoadSimulation.Result chooser =
        new PeakLoadSimulation(seed, PeakLoadSimulation.serverChooser())
            .run(PEAK_REQUESTS_PER_SECOND, DURATION_MILLIS);

    assertThat(chooser.inTime()).as("%s", chooser).isGreaterThan(chooser.asked() / 2);
  }
}
