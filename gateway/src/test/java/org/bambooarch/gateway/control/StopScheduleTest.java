package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

// Guards against requests that a stopping instance passes on so late that it aborts them at the
// end of the grace period.
class StopScheduleTest {

  private static final long MILLIS = 1_000_000L;
  private static final long STOP_NANOS = Long.MAX_VALUE - 1_000 * MILLIS;
  private static final long FAR_MILLIS = 60_000;

  private static StopSchedule withGrace(long graceMillis) {
    return StopSchedule.from(STOP_NANOS, graceMillis);
  }

  private static long after(long millis) {
    return STOP_NANOS + millis * MILLIS;
  }

  @ParameterizedTest
  @CsvSource({
    "6000, 2799, true", "6000, 2800, false",
    "60000, 2799, true", "60000, 2800, false",
    "3000, 1374, true", "3000, 1375, false",
    "1000, 374, true", "1000, 375, false",
    "100, 0, false", "0, 0, false"
  })
  void should_accept_requests_for_half_of_the_grace_period_but_not_longer_than_cached_addresses(
      long graceMillis, long elapsedMillis, boolean accepted) {
    assertThat(withGrace(graceMillis).accepts(after(elapsedMillis))).isEqualTo(accepted);
  }

  @ParameterizedTest
  @CsvSource({"6000, 5250", "3000, 2250", "1000, 375", "0, 0"})
  void should_accept_requests_until_shortly_before_the_end_when_it_is_the_last_of_its_region(
      long graceMillis, long lastMillis) {
    assertThat(withGrace(graceMillis).lastAcceptNanos()).isEqualTo(after(lastMillis));
  }

  // Regression: the last instance of a region, on a busy machine, ended with requests in flight
  // whose deadline was just before its end.
  @ParameterizedTest
  @CsvSource({
    "2799, 60000, true",
    "2800, 5250, true",
    "2800, 5251, false",
    "4000, 5250, true",
    "4000, 5251, false"
  })
  void should_accept_late_only_requests_that_are_over_well_before_the_end(
      long elapsedMillis, long deadlineMillis, boolean accepted) {
    assertThat(withGrace(6_000).accepts(after(deadlineMillis), after(elapsedMillis)))
        .isEqualTo(accepted);
  }

  @ParameterizedTest
  @CsvSource({"6000, 5749, false", "6000, 5750, true", "200, 0, true"})
  void should_end_before_the_grace_period_does(
      long graceMillis, long elapsedMillis, boolean ended) {
    assertThat(withGrace(graceMillis).hasEnded(after(elapsedMillis))).isEqualTo(ended);
  }

  @ParameterizedTest
  @CsvSource({
    "2000, 3750, true, true", "2000, 3751, true, false",
    "2000, 1875, false, true", "2000, 1876, false, false",
    "2800, 1, true, false"
  })
  void should_send_only_what_servers_are_likely_to_finish_when_the_deadline_is_later(
      long elapsedMillis, long averageMillis, boolean idempotent, boolean sent) {
    assertThat(
            withGrace(6_000)
                .maySend(
                    after(FAR_MILLIS), averageMillis * MILLIS, idempotent, after(elapsedMillis)))
        .isEqualTo(sent);
  }

  @Test
  void should_send_a_request_whose_deadline_is_before_the_end() {
    assertThat(withGrace(6_000).maySend(after(5_750), 9_000 * MILLIS, false, after(4_000)))
        .isTrue();
  }

  @Test
  void should_leave_time_for_another_attempt_when_no_new_request_is_accepted() {
    assertThat(
            withGrace(6_000).leavesTimeFor(after(FAR_MILLIS), 1_000 * MILLIS, true, after(3_000)))
        .isTrue();
  }
}
