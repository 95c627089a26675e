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
record Workload(String name, long seconds, List<CustomerLoad> loads) {

  /**
   * What one customer sends.
   *
   * @param limits the customer's rate and burst
   * @param demandPerSecond requests per second that it sends
   * @param selection which instances its callers use
   */
  record CustomerLoad(BudgetResource limits, double demandPerSecond, InstanceSelection selection) {}

  /** Which instances a customer's callers use. */
  enum InstanceSelection {
    /** All instances alike. */
    UNIFORM,
    /** One instance; the next one when it is gone. */
    ONE_INSTANCE,
    /** One instance, another one every ten seconds. */
    ROTATING
  }

  List<BudgetResource> resources() {
    return loads.stream().map(CustomerLoad::limits).toList();
  }
}
