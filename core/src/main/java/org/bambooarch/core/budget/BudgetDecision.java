package org.bambooarch.core.budget;

/** The answer to a request that asks for tokens of a resource. */
public enum BudgetDecision {
  /** The tokens were taken. */
  ADMITTED,
  /**
   * This instance lacks the tokens, but expects them from peers or from the refill: ask again with
   * {@link FleetBudgets#retryAdmit} within {@link FleetBudgets#maxWaitNanos}.
   */
  WAIT,
  /** The rate and burst are used up over all instances. */
  OVER_RATE,
  /**
   * This instance may not use its shares, because its lease has expired or was never granted: it
   * lacks the confirmation that it still holds them.
   */
  NOT_CONFIRMED,
  /** No configured resource has this name. */
  UNKNOWN_RESOURCE
}
