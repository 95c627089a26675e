package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StopInTurnTest {

  private static final int SEEDS = 50;
  private static final int INSTANCES = 3;
  private static final long MAX_ROUND_MILLIS = 30_000;

  // Incident HOME: while the instances of a region stopped and started in turn, none of them
  // accepted requests, and callers were sent to another region.
  @ParameterizedTest
  @ValueSource(longs = {2_000, 1_500, 1_300, 1_000, 700})
  void should_always_have_an_instance_that_accepts_requests_when_those_of_a_region_stop_in_turn(
      long gapMillis) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertThat(millisWithoutInstance(gapMillis, seed)).as("seed %d", seed).isZero();
    }
  }

  private static long millisWithoutInstance(long gapMillis, long seed) {
    RollingStops stops =
        new RollingStops(INSTANCES, RandomGeneratorFactory.of("L64X128MixRandom").create(seed));
    while (!stops.areAllReady()) {
      stops.step();
    }
    long startMillis = stops.nowMillis();
    int stopped = 0;
    long emptyMillis = 0;
    while (stopped < INSTANCES || !stops.areAllReady()) {
      if (stopped < INSTANCES && stops.nowMillis() - startMillis >= stopped * gapMillis) {
        stops.stop(stopped++);
      }
      stops.step();
      if (stops.accepting() == 0) {
        emptyMillis += RollingStops.STEP_MILLIS;
      }
      assertThat(stops.nowMillis() - startMillis).isLessThan(MAX_ROUND_MILLIS);
    }
    return emptyMillis;
  }
}
