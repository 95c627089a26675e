package org.bambooarch.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TargetChooserInvariantTest {

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void should_keep_every_invariant_when_servers_fail_shed_and_drain_at_random(long seed) {
    // given
    RandomisedRun run = new RandomisedRun(seed, RoutingSettings.defaults());
    // when
    run.run();
    // then
    assertThat(run.violations).isEmpty();
    assertThat(run.chosenCount).isGreaterThan(1_000);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void should_eject_too_many_servers_when_the_bound_on_ejections_is_switched_off(long seed) {
    // given
    RandomisedRun run =
        new RandomisedRun(seed, RoutingSettings.defaults().withMaxEjectedShare(1.0));
    // when
    run.run();
    // then
    assertThat(run.violations).contains("more servers are ejected than the settings allow");
  }
}
