package org.bambooarch.peer.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class BackOffTest {

  @Test
  void should_stay_within_its_bounds_and_spread_out_when_failures_go_on() {
    // given
    BackOff backOff = new BackOff(100, 5_000, new Random(1));
    // when / then
    long longest = 0;
    for (int failure = 0; failure < 200; failure++) {
      long wait = backOff.nextDelayMillis();
      assertThat(wait).isBetween(100L, 5_000L);
      longest = Math.max(longest, wait);
    }
    assertThat(longest).isGreaterThan(2_500);
  }

  @Test
  void should_start_from_the_shortest_waits_again_after_a_success() {
    // given
    BackOff backOff = new BackOff(100, 5_000, new Random(1));
    for (int failure = 0; failure < 20; failure++) {
      backOff.nextDelayMillis();
    }
    // when
    backOff.reset();
    // then
    assertThat(backOff.nextDelayMillis()).isBetween(100L, 200L);
  }
}
