package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.OptionalLong;
import org.bambooarch.core.time.ManualClock;
import org.junit.jupiter.api.Test;

/** For how long a request counts as unread that is read now. */
class ArrivalEstimateTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private static final RequestHeaders WITHOUT_BODY = RequestHeaders.of(HttpMethod.GET, "/");
  private static final RequestHeaders WITH_BODY =
      RequestHeaders.of(HttpMethod.POST, "/", "content-length", "5");

  private final ManualClock clock = ManualClock.startingAtZero();
  private final ControlState state = new ControlState(ListWatcherTest.settings(), clock);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private OptionalLong sinceDataNanos = OptionalLong.empty();
  private int questions;
  private final ArrivalEstimate estimate =
      new ArrivalEstimate(
          state,
          asked -> {
            questions++;
            return sinceDataNanos;
          });

  private long unreadMillis(RequestHeaders headers, boolean multiplexed) {
    return estimate.unreadNanos(channel, headers, multiplexed) / NANOS_PER_MILLI;
  }

  private void lastDataBefore(long millis) {
    sinceDataNanos = OptionalLong.of(millis * NANOS_PER_MILLI);
  }

  @Test
  void should_ask_nothing_while_the_event_loop_keeps_its_schedule() {
    lastDataBefore(500);
    clock.advanceMillis(ControlState.TICK_MILLIS);

    assertThat(unreadMillis(WITHOUT_BODY, false)).isZero();
    assertThat(questions).isZero();
  }

  @Test
  void should_use_the_lag_of_the_event_loop_when_the_socket_does_not_answer() {
    clock.advanceMillis(ControlState.TICK_MILLIS + 400);

    assertThat(unreadMillis(WITHOUT_BODY, false)).isEqualTo(400);
    assertThat(questions).isEqualTo(1);
  }

  // Guards against refusing a request that arrived at the end of the time in which the loop was
  // held up, and against a deadline that is too early.
  @Test
  void should_use_the_age_of_the_data_when_it_arrived_while_the_event_loop_was_late() {
    lastDataBefore(30);
    clock.advanceMillis(ControlState.TICK_MILLIS + 400);

    assertThat(unreadMillis(WITHOUT_BODY, false)).isEqualTo(30);
  }

  // Guards against a request that counts as new because the late tick ran before it was read: it
  // came on a connection that was accepted in the same turn.
  @Test
  void should_know_what_was_unread_when_the_late_tick_has_run_before_the_request_is_read() {
    lastDataBefore(450);
    clock.advanceMillis(ControlState.TICK_MILLIS + 400);
    state.tick();
    clock.advanceMillis(50);

    assertThat(unreadMillis(WITHOUT_BODY, false)).isEqualTo(450);
  }

  @Test
  void should_use_the_greater_age_when_the_last_data_may_not_be_that_of_the_head() {
    clock.advanceMillis(ControlState.TICK_MILLIS + 400);
    lastDataBefore(30);
    assertThat(unreadMillis(WITH_BODY, false)).isEqualTo(400);
    assertThat(unreadMillis(WITHOUT_BODY, true)).isEqualTo(400);

    lastDataBefore(450);
    assertThat(unreadMillis(WITH_BODY, false)).isEqualTo(450);
    assertThat(unreadMillis(WITHOUT_BODY, true)).isEqualTo(450);
  }

  // Guards against taking each request for a new one where an emulated socket always answers 0.
  @Test
  void should_not_believe_a_source_that_has_never_told_of_anything_but_data_of_just_now() {
    DataAge credible = new CredibleDataAge(asked -> sinceDataNanos);
    lastDataBefore(0);
    assertThat(credible.sinceLastDataNanos(channel)).isEmpty();

    lastDataBefore(3);
    assertThat(credible.sinceLastDataNanos(channel)).hasValue(3 * NANOS_PER_MILLI);

    lastDataBefore(0);
    assertThat(credible.sinceLastDataNanos(channel)).hasValue(0);
  }

  @Test
  void should_stop_asking_a_source_that_always_answers_zero() {
    lastDataBefore(0);
    DataAge credible =
        new CredibleDataAge(
            asked -> {
              questions++;
              return sinceDataNanos;
            });

    for (int i = 0; i < 2 * CredibleDataAge.MAX_ZERO_ANSWERS; i++) {
      assertThat(credible.sinceLastDataNanos(channel)).isEmpty();
    }

    assertThat(questions).isEqualTo(CredibleDataAge.MAX_ZERO_ANSWERS);
  }
}
