package org.bambooarch.bench.budget;

import java.util.List;
import org.bambooarch.core.budget.BudgetResource;

/**
 * The traffic of a trial.
 *
 * @param name name in the table of results
 * @param seconds length of the measured part
 * @param loads what each customer sends
 */
record Scenario(String name, long seconds, List<Load> loads) {

  /**
   * What one customer sends.
   *
   * @param limits the customer's rate and burst
   * @param demandPerSecond requests per second that it sends
   * @param spread which instances its callers use
   */
  record Load(BudgetResource limits, double demandPerSecond, Spread spread) {}

  /** Which instances a customer's callers use. */
  enum Spread {
    /** All instances alike. */
    UNIFORM,
    /** One instance; the next one when it is gone. */
    ONE_INSTANCE,
    /** One instance, another one every ten seconds. */
    WANDERING
  }

  List<BudgetResource> resources() {
    return loads.stream().map(Load::limits).toList();
  }
}
