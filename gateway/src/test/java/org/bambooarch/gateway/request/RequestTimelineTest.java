package org.bambooarch.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.bambooarch.gateway.target.RequestTime;
import org.junit.jupiter.api.Test;

/** What the log says of when the steps of a request happened. */
class RequestTimelineTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long ARRIVED_NANOS = 7_000 * NANOS_PER_MILLI;

  private final RequestTimeline timeline =
      new RequestTimeline(RequestTime.of(ARRIVED_NANOS, 1_000), at(300));

  private static long at(long millisAfterArrival) {
    return ARRIVED_NANOS + millisAfterArrival * NANOS_PER_MILLI;
  }

  @Test
  void should_state_each_step_in_milliseconds_since_the_arrival() {
    timeline.onDecided(at(310));
    timeline.onSending(at(420));

    assertThat(timeline.describe(25 * NANOS_PER_MILLI))
        .isEqualTo(
            "read-millis=300 decided-millis=310 connecting-millis=- opened-millis=-"
                + " sent-millis=420 lag-millis=25");
  }

  @Test
  void should_not_state_the_send_of_an_earlier_attempt() {
    timeline.onDecided(at(310));
    timeline.onSending(at(420));
    timeline.onDecided(at(500));

    assertThat(timeline.describe(0)).contains("decided-millis=500").contains("sent-millis=- ");
  }
}
