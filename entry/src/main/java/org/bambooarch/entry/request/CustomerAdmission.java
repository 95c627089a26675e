package org.bambooarch.entry.request;

import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.bambooarch.core.budget.BudgetDecision;
import org.bambooarch.core.budget.FleetBudgets;
import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.time.Clock;

/**
 * Admits requests within the customer's rate and burst over all instances.
 *
 * <p>A request waits a short time when peers hold tokens that are on their way; it runs on a
 * virtual thread therefore.
 */
public final class CustomerAdmission {

  private static final long REQUEST_QUANTA = 1;
  private static final long POLL_INTERVAL_NANOS = 5_000_000L;

  private final FleetBudgets budgets;
  private final Clock clock;

  /** Creates the admission over the fleet's budgets. */
  public CustomerAdmission(FleetBudgets budgets, Clock clock) {
    this.budgets = budgets;
    this.clock = clock;
  }

  /**
   * Takes one request from the customer's budget, or returns why it is refused.
   *
   * @param customer name of the customer; empty on routes that are open to all
   * @param deadlineNanos monotonic time after which waiting has no use
   */
  public Optional<NotRun> admit(String customer, long deadlineNanos) {
    if (customer.isEmpty()) {
      return Optional.empty();
    }
    long nowNanos = clock.monotonicNanos();
    long maxWaitUntilNanos = nowNanos + budgets.maxWaitNanos();
    long waitUntilNanos = deadlineNanos - maxWaitUntilNanos < 0 ? deadlineNanos : maxWaitUntilNanos;
    BudgetDecision decision = budgets.tryAdmit(customer, REQUEST_QUANTA);
    while (decision == BudgetDecision.WAIT) {
      if (clock.monotonicNanos() - waitUntilNanos >= 0) {
        budgets.abandonWait(customer, REQUEST_QUANTA);
        decision = BudgetDecision.OVER_RATE;
        break;
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
      decision = budgets.retryAdmit(customer, REQUEST_QUANTA);
    }
    return refusalOf(decision, customer);
  }

  private Optional<NotRun> refusalOf(BudgetDecision decision, String customer) {
    return switch (decision) {
      case ADMITTED -> Optional.empty();
      case OVER_RATE, WAIT ->
          Optional.of(
              NotRun.of(NotRun.Reason.OVER_RATE, "the customer's rate and burst are used up")
                  .withRetryAfterMillis(budgets.retryAfterMillis(customer, REQUEST_QUANTA)));
      case NOT_CONFIRMED ->
          Optional.of(
              NotRun.of(
                      NotRun.Reason.BUDGET_UNCONFIRMED,
                      "this instance has no confirmed share of the customer's budget")
                  .withRetryAfterMillis(budgets.retryAfterMillis(customer, REQUEST_QUANTA)));
      case UNKNOWN_RESOURCE ->
          Optional.of(NotRun.of(NotRun.Reason.KEY_REJECTED, "the key's customer is not declared"));
    };
  }
}
