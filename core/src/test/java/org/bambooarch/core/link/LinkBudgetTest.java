package org.bambooarch.core.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LinkBudgetTest {

  private static final long CAP = 35_000_000L;
  private static final int INSTANCES = 10;
  private static final long WINDOW_BYTES = CAP * LinkBudget.WINDOW_NANOS / 1_000_000_000L;

  private final ManualClock clock = ManualClock.startingAtZero();

  private record Grant(long atNanos, long bytes) {}

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void should_keep_every_window_under_the_cap_when_shares_move_between_instances(long seed) {
    assertThat(maxBytesInWindow(seed, CAP / INSTANCES)).isLessThanOrEqualTo(WINDOW_BYTES);
  }

  @Test
  void should_exceed_the_cap_when_each_instance_takes_the_whole_cap() {
    assertThat(maxBytesInWindow(1, CAP)).isGreaterThan(WINDOW_BYTES);
  }

  @Test
  void should_use_most_of_the_share_when_demand_is_unbounded() {
    // given
    LinkBudget budget = new LinkBudget("kochi", "tvm", CAP, clock);
    // when
    for (int milli = 0; milli < 1_000; milli++) {
      clock.advanceMillis(1);
      budget.acquireUpTo(Long.MAX_VALUE, PriorityClass.BROWSE);
    }
    // then
    assertThat(budget.movedBytes()).isBetween(CAP * 85 / 100, CAP);
  }

  @Test
  void should_leave_part_of_the_burst_to_other_classes_when_bulk_takes_all_it_can() {
    // given
    LinkBudget budget = new LinkBudget("kochi", "tvm", CAP, clock);
    clock.advanceMillis(500);
    // when
    budget.acquireUpTo(Long.MAX_VALUE, PriorityClass.BULK);
    // then
    assertThat(budget.acquireUpTo(Long.MAX_VALUE, PriorityClass.BULK)).isZero();
    assertThat(budget.nanosUntilGrant(PriorityClass.BULK)).isPositive();
    assertThat(budget.acquireUpTo(100_000, PriorityClass.COUNTER)).isEqualTo(100_000);
  }

  @Test
  void should_grant_nothing_when_the_rate_has_not_made_up_for_charged_bytes_yet() {
    // given
    LinkBudget budget = new LinkBudget("kochi", "tvm", CAP, clock);
    clock.advanceMillis(500);
    // when
    budget.charge(CAP);
    clock.advanceMillis(900);
    // then
    assertThat(budget.acquireUpTo(1, PriorityClass.COUNTER)).isZero();
    assertThat(budget.headroom()).isZero();
  }

  @Test
  void should_bound_reservations_but_admit_one_large_request_when_the_link_is_idle() {
    // given
    LinkBudget budget = new LinkBudget("kochi", "tvm", CAP, clock);
    // when / then
    assertThat(budget.tryReserve(CAP)).isTrue();
    assertThat(budget.tryReserve(1)).isFalse();
    budget.release(CAP);
    assertThat(budget.tryReserve(1)).isTrue();
  }

  private long maxBytesInWindow(long seed, long shareBytesPerSecond) {
    Random random = new Random(seed);
    LinkBudget[] budgets = new LinkBudget[INSTANCES];
    for (int instance = 0; instance < INSTANCES; instance++) {
      budgets[instance] = new LinkBudget("kochi", "tvm", shareBytesPerSecond, clock);
    }
    Deque<Grant> window = new ArrayDeque<>();
    long inWindow = 0;
    long max = 0;
    for (int step = 0; step < 20_000; step++) {
      clock.advanceNanos(random.nextInt(200_000) * (random.nextInt(50) == 0 ? 1_000L : 1L));
      LinkBudget budget = budgets[random.nextInt(INSTANCES)];
      long granted = budget.acquireUpTo(random.nextInt(400_000), PriorityClass.BROWSE);
      long now = clock.monotonicNanos();
      window.addLast(new Grant(now, granted));
      inWindow += granted;
      while (now - window.getFirst().atNanos() > LinkBudget.WINDOW_NANOS) {
        inWindow -= window.removeFirst().bytes();
      }
      max = Math.max(max, inWindow);
      moveShare(budget, budgets[random.nextInt(INSTANCES)], random);
    }
    return max;
  }

  private static void moveShare(LinkBudget from, LinkBudget to, Random random) {
    if (from == to) {
      return;
    }
    long moved = (long) (from.shareBytesPerSecond() * random.nextDouble());
    from.setShareBytesPerSecond(from.shareBytesPerSecond() - moved);
    to.setShareBytesPerSecond(to.shareBytesPerSecond() + moved);
  }
}
