package org.bambooarch.peer.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class BackOffTest {

  @Test
  void should_return_spread_delays_within_the_bounds_when_failures_continue() {
    // given
    BackOff backOff = new BackOff(100, 5_000, new Random(1));
    // when / then
    long longest = 0;
    for (int failure = 0; failure < 200; failure++) {
      long delay = backOff.nextDelayMillis();
      assertThat(delay).isBetween(100L, 5_000L);
      longest = Math.max(longest, delay);
    }
    assertThat(longest).isGreaterThan(2_500);
  }

  @Test
  void should_return_a_shortest_delay_when_it_was_reset_after_failures() {
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
