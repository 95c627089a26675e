package org.bambooarch.bench.budget;

import java.util.List;
import org.bambooarch.core.budget.BudgetResource;

/**
 * The traffic of a simulation.
 *
 * @param name name of the case in the printed results
 * @param seconds nominal length of the measured period in seconds
 * @param loads the traffic of each customer
 */
record Workload(String name, long seconds, List<CustomerLoad> loads) {

  /**
   * The traffic of one customer.
   *
   * @param limits the customer's rate and burst
   * @param demandPerSecond mean number of requests per second that it sends
   * @param selection how its callers select instances
   */
  record CustomerLoad(BudgetResource limits, double demandPerSecond, InstanceSelection selection) {}

  /** How the callers of a customer select instances; unavailable ones are skipped. */
  enum InstanceSelection {
    /** An instance at random for each request, all with the same probability. */
    UNIFORM,
    /** The first instance; the next one while it is unavailable. */
    ONE_INSTANCE,
    /** One instance for all requests, another one every ten seconds. */
    ROTATING
  }

  List<BudgetResource> resources() {
    return loads.stream().map(CustomerLoad::limits).toList();
  }
}
