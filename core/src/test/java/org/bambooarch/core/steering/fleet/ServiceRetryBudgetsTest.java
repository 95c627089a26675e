package org.bambooarch.core.steering.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ServiceRetryBudgetsTest {

  private static int takeAll(ServiceRetryBudgets budgets) {
    int taken = 0;
    while (budgets.tryTake("orders")) {
      taken++;
    }
    return taken;
  }

  @Test
  void should_allow_one_retry_when_the_first_request_after_a_start_fails() {
    ServiceRetryBudgets budgets = new ServiceRetryBudgets(0.2, 3);

    budgets.onFirstSend("orders");

    assertThat(takeAll(budgets)).isEqualTo(1);
  }

  @Test
  void should_allow_no_more_retries_than_the_ratio_when_a_service_fails_for_long() {
    ServiceRetryBudgets budgets = new ServiceRetryBudgets(0.2, 3);
    int retries = 0;
    for (int request = 0; request < 1_000; request++) {
      budgets.onFirstSend("orders");
      retries += takeAll(budgets);
    }
    assertThat(retries).isBetween(100, 200 + 3);
  }

  @Test
  void should_save_up_no_more_than_the_slack_when_no_retries_are_taken() {
    ServiceRetryBudgets budgets = new ServiceRetryBudgets(0.2, 3);
    for (int request = 0; request < 1_000; request++) {
      budgets.onFirstSend("orders");
    }
    assertThat(takeAll(budgets)).isEqualTo(3);
  }

  @Test
  void should_keep_the_budget_of_a_service_when_that_of_another_is_used_up() {
    ServiceRetryBudgets budgets = new ServiceRetryBudgets(0.2, 3);
    takeAll(budgets);

    assertThat(budgets.tryTake("lookups")).isTrue();
  }
}
