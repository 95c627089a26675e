package org.bambooarch.entry.shutdown;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GracefulShutdownTest {

  private final ManualClock clock = ManualClock.startingAtZero();
  private final List<String> steps = new ArrayList<>();

  private GracefulShutdown shutdown(long lookupsValidMillis) {
    return GracefulShutdown.of(
        new GracefulShutdown.Steps() {
          @Override
          public void announceLeaving() {
            steps.add("announce");
          }

          @Override
          public long lookupsValidMillis() {
            steps.add("wait");
            return lookupsValidMillis;
          }

          @Override
          public void finishRequests(long deadlineNanos) {
            steps.add("finish until " + deadlineNanos);
          }

          @Override
          public void stop() {
            steps.add("stop");
          }
        },
        clock);
  }

  @Test
  void should_finish_requests_and_then_stop_when_look_up_answers_have_expired() {
    // when
    shutdown(0).run(1_000);
    // then
    assertThat(steps).containsExactly("announce", "wait", "finish until 1000", "stop");
  }

  @Test
  void should_stop_without_finishing_when_a_second_signal_arrives() {
    // given
    GracefulShutdown shutdown = shutdown(Long.MAX_VALUE / 10_000_000L);
    shutdown.stopNow();
    // when
    shutdown.run(Long.MAX_VALUE);
    // then
    assertThat(steps).containsExactly("announce", "wait", "stop");
  }

  // Guards against requests that are accepted until the deadline, at which they are cut: look-up
  // responses are valid for longer than a short grace period.
  @ParameterizedTest
  @CsvSource({"10000, 25000, 10000", "10000, 20000, 10000", "10000, 6000, 3000", "10000, 0, 0"})
  void should_leave_half_of_the_time_to_finish_requests_when_look_ups_are_valid_for_longer(
      long lookupsValidMillis, long graceMillis, long acceptMillis) {
    long nowNanos = Long.MAX_VALUE - 1_000;
    long acceptUntilNanos =
        GracefulShutdown.acceptUntilNanos(
            nowNanos, lookupsValidMillis, nowNanos + graceMillis * 1_000_000L);

    assertThat(acceptUntilNanos - nowNanos).isEqualTo(acceptMillis * 1_000_000L);
  }
}
