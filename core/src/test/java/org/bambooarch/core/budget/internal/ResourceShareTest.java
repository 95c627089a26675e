package org.bambooarch.core.budget.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.ShareAmount;
import org.junit.jupiter.api.Test;

class ResourceShareTest {

  private static final long ONE_SECOND_NANOS = 1_000_000_000L;

  private static ResourceShare share(double rate, long burst, long full, long empty) {
    ResourceShare share = new ResourceShare("kerala", 0);
    share.setLimits(new BudgetResource("kerala", rate, burst));
    share.add(new ShareAmount(ShareAmount.WHOLE, full, empty));
    return share;
  }

  @Test
  void should_admit_exactly_the_tokens_when_many_threads_take_at_once() throws Exception {
    // given
    ResourceShare share = share(10, 1_000, ShareAmount.WHOLE, 0);
    AtomicLong taken = new AtomicLong();
    List<Thread> threads = new ArrayList<>();
    // when
    for (int i = 0; i < 4; i++) {
      threads.add(
          Thread.ofPlatform()
              .start(
                  () -> {
                    for (int n = 0; n < 1_000; n++) {
                      taken.addAndGet(share.tryTake(1) ? 1 : 0);
                    }
                  }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    // then
    assertThat(taken.get()).isEqualTo(1_000);
    assertThat(share.held().capacityUnits()).isEqualTo(ShareAmount.WHOLE);
  }

  @Test
  void should_refill_by_the_rate_when_units_were_empty_all_the_time() {
    // given
    ResourceShare share = share(10, 100, 0, ShareAmount.WHOLE);
    // when
    share.refill(ONE_SECOND_NANOS);
    // then
    assertThat(share.held().fullUnits())
        .isBetween(ShareAmount.WHOLE / 10 - 2, ShareAmount.WHOLE / 10);
  }

  @Test
  void should_not_refill_for_the_past_when_units_became_empty_a_moment_ago() {
    // given: full for ten seconds, then emptied just before the refill
    ResourceShare share = share(10, 100, ShareAmount.WHOLE, 0);
    share.tryTake(100);
    // when
    share.refill(10 * ONE_SECOND_NANOS);
    // then
    assertThat(share.held().fullUnits()).isZero();
  }

  @Test
  void should_give_no_more_than_it_holds_when_asked_for_more() {
    // given
    ResourceShare share = share(10, 100, 300, 500);
    // when
    ShareAmount removed = share.remove(new ShareAmount(0, 400, 900));
    // then
    assertThat(removed).isEqualTo(new ShareAmount(0, 300, 500));
    assertThat(share.held().capacityUnits()).isZero();
  }
}
