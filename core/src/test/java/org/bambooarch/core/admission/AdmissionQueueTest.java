package org.bambooarch.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {

  private static final int SMALL = 0;
  private static final int LARGE = 1;
  private static final long IN_FIVE_SECONDS = 5_000_000_000L;
  private static final List<Customer> CUSTOMERS =
      List.of(new Customer("small", 10, 10), new Customer("large", 90, 90));

  private final ManualClock clock = ManualClock.startingAtZero();
  private final AdmissionQueue<String> queue =
      AdmissionQueue.create(AdmissionSettings.defaults(), CUSTOMERS, clock);

  @Test
  void should_dispatch_by_priority_when_requests_of_all_priorities_wait() {
    // given
    queue.offer("bulk", SMALL, DispatchPriority.BULK, IN_FIVE_SECONDS);
    queue.offer("due", SMALL, DispatchPriority.DUE_BULK, IN_FIVE_SECONDS);
    queue.offer("browse", SMALL, DispatchPriority.BROWSE, IN_FIVE_SECONDS);
    queue.offer("counter", SMALL, DispatchPriority.COUNTER, IN_FIVE_SECONDS);
    // when / then
    assertThat(dispatchOrder(4)).containsExactly("counter", "browse", "due", "bulk");
  }

  @Test
  void should_serve_a_customer_in_its_turn_when_another_has_a_backlog() {
    // given
    for (int n = 0; n < 40; n++) {
      queue.offer("large" + n, LARGE, DispatchPriority.BROWSE, IN_FIVE_SECONDS);
    }
    queue.offer("small", SMALL, DispatchPriority.BROWSE, IN_FIVE_SECONDS);
    // when / then
    assertThat(dispatchOrder(2)).contains("small");
  }

  @Test
  void should_serve_in_order_of_arrival_when_fairness_is_switched_off() {
    // given
    AdmissionQueue<String> unfair =
        AdmissionQueue.create(AdmissionSettings.defaults().withoutFairness(), CUSTOMERS, clock);
    for (int n = 0; n < 40; n++) {
      unfair.offer("large" + n, LARGE, DispatchPriority.BROWSE, IN_FIVE_SECONDS);
    }
    unfair.offer("small", SMALL, DispatchPriority.BROWSE, IN_FIVE_SECONDS);
    // when
    List<String> order = new ArrayList<>();
    unfair.dispatch(waiting -> order.add(waiting.request()));
    // then
    assertThat(order.indexOf("small")).isEqualTo(40);
  }

  @Test
  void should_share_turns_by_weight_when_both_customers_have_a_backlog() {
    // given
    for (int n = 0; n < 40; n++) {
      queue.offer("large" + n, LARGE, DispatchPriority.BROWSE, IN_FIVE_SECONDS);
      queue.offer("small" + n, SMALL, DispatchPriority.BROWSE, IN_FIVE_SECONDS);
    }
    // when
    List<String> order = dispatchOrder(40);
    // then
    assertThat(order.stream().filter(name -> name.startsWith("small")).count()).isBetween(9L, 11L);
  }

  @Test
  void should_refuse_at_once_with_a_retry_delay_when_the_deadline_cannot_be_met() {
    // given
    for (int n = 0; n < 50; n++) {
      queue.offer("large" + n, LARGE, DispatchPriority.COUNTER, IN_FIVE_SECONDS);
    }
    // when
    AdmissionDecision decision = queue.offer("late", LARGE, DispatchPriority.COUNTER, 10_000_000L);
    // then
    assertThat(decision)
        .isInstanceOfSatisfying(
            AdmissionDecision.Refused.class,
            refused -> {
              assertThat(refused.refusal().reason()).isEqualTo(NotRun.Reason.DEADLINE);
              assertThat(refused.refusal().retryAfterMillis().orElseThrow()).isPositive();
            });
  }

  @Test
  void should_still_queue_other_customers_when_one_has_a_backlog_that_is_too_long() {
    // given
    while (queue.offer("large", LARGE, DispatchPriority.BROWSE, IN_FIVE_SECONDS)
        instanceof AdmissionDecision.Queued) {
      assertThat(queue.size()).isLessThan(1_000);
    }
    // when / then
    assertThat(queue.offer("small", SMALL, DispatchPriority.BROWSE, IN_FIVE_SECONDS))
        .isInstanceOf(AdmissionDecision.Queued.class);
  }

  @Test
  void should_return_a_request_as_expired_when_it_has_waited_for_the_longest_wait() {
    // given
    queue.offer("waits", SMALL, DispatchPriority.COUNTER, IN_FIVE_SECONDS);
    // when
    clock.advanceMillis(999);
    List<QueuedRequest<String>> early = queue.removeExpired();
    clock.advanceMillis(1);
    List<QueuedRequest<String>> expired = queue.removeExpired();
    // then
    assertThat(early).isEmpty();
    assertThat(expired).extracting(QueuedRequest::request).containsExactly("waits");
    assertThat(queue.refusalOf(expired.getFirst()).reason()).isEqualTo(NotRun.Reason.NO_ROOM);
    assertThat(queue.size()).isZero();
  }

  @Test
  void should_remove_a_request_when_its_caller_has_disconnected() {
    // given
    queue.offer("disconnected", SMALL, DispatchPriority.COUNTER, IN_FIVE_SECONDS);
    // when / then
    assertThat(queue.cancel("disconnected")).isTrue();
    assertThat(queue.cancel("disconnected")).isFalse();
    assertThat(dispatchOrder(1)).isEmpty();
  }

  @Test
  void should_raise_bulk_above_other_bulk_when_its_wall_clock_deadline_is_near() {
    // given
    long finishBy = DispatchPriority.DUE_WINDOW_MILLIS + 1;
    // when / then
    assertThat(DispatchPriority.at(PriorityClass.BULK, finishBy, 0))
        .isEqualTo(DispatchPriority.BULK);
    assertThat(DispatchPriority.at(PriorityClass.BULK, finishBy, 1))
        .isEqualTo(DispatchPriority.DUE_BULK);
    assertThat(DispatchPriority.at(PriorityClass.BULK, DispatchPriority.NO_DEADLINE, 1))
        .isEqualTo(DispatchPriority.BULK);
    assertThat(DispatchPriority.at(PriorityClass.BROWSE, finishBy, 1))
        .isEqualTo(DispatchPriority.BROWSE);
  }

  private List<String> dispatchOrder(int most) {
    List<String> order = new ArrayList<>();
    queue.dispatch(waiting -> order.size() < most && order.add(waiting.request()));
    return order;
  }
}
