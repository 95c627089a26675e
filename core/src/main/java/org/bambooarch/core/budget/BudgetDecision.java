package org.bambooarch.core.budget;

/** What becomes of a request that asks for budget. */
public enum BudgetDecision {
  /** The budget was taken. */
  ADMITTED,
  /** This instance has no token, but peers do: ask again within {@code maxWaitNanos}. */
  WAIT,
  /** The rate and burst are used up over all instances. */
  OVER_RATE,
  /** This instance may not use its shares, because nobody confirmed that it still holds them. */
  NOT_CONFIRMED,
  /** No resource has this name. */
  UNKNOWN_RESOURCE
}
