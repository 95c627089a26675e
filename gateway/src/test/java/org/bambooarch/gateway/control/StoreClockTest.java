package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StoreClockTest {

  private static final long MILLI = 1_000_000L;

  private final StoreClock clock = new StoreClock();

  @Test
  void should_know_no_time_before_the_first_response() {
    clock.onReport(5_000, 100 * MILLI);
    clock.onResponse(0, 100 * MILLI, 110 * MILLI);

    assertThat(clock.toMonotonicNanos(5_000)).isEmpty();
  }

  @Test
  void should_date_a_time_no_later_than_the_call_when_responses_take_long() {
    clock.onResponse(5_000, 100 * MILLI, 900 * MILLI);

    assertThat(clock.toMonotonicNanos(5_400)).hasValue(500 * MILLI);
  }

  @Test
  void should_date_times_more_exactly_when_a_later_response_is_quicker() {
    clock.onResponse(5_000, 100 * MILLI, 900 * MILLI);
    clock.onResponse(6_000, 1_790 * MILLI, 1_810 * MILLI);
    clock.onResponse(7_000, 2_000 * MILLI, 3_500 * MILLI);

    assertThat(clock.toMonotonicNanos(7_000)).hasValue(2_790 * MILLI);
  }

  // A list that was confirmed before an instance stood still must not seem to be confirmed after.
  @Test
  void should_date_times_earlier_when_another_instance_reports_after_a_suspension() {
    clock.onResponse(5_000, 100 * MILLI, 110 * MILLI);
    // 4 s of the store's time in which the clock here stood still.
    clock.onReport(9_500, 650 * MILLI);

    assertThat(clock.toMonotonicNanos(9_500)).hasValue(650 * MILLI);
    assertThat(clock.toMonotonicNanos(9_000)).hasValue(150 * MILLI);
  }
}
