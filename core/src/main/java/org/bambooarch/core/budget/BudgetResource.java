package org.bambooarch.core.budget;

import org.bambooarch.core.inventory.Customer;

/**
 * A resource that all instances together may use up to a rate and a burst, as a token bucket.
 *
 * @param name unique name over all kinds of resources
 * @param quantaPerSecond sustained rate in quanta, such as requests or bytes, per second
 * @param burstQuanta quanta that may be used at once
 */
public record BudgetResource(String name, double quantaPerSecond, long burstQuanta) {

  /**
   * Checks the limits.
   *
   * @throws IllegalArgumentException if the rate is negative or not a number, or the burst is below
   *     one
   */
  public BudgetResource {
    if (!(quantaPerSecond >= 0) || burstQuanta < 1) {
      throw new IllegalArgumentException(
          "expected a rate >= 0 quanta/s and a burst >= 1 quantum but was %s and %d at resource %s"
              .formatted(quantaPerSecond, burstQuanta, name));
    }
  }

  /**
   * Returns the request limits of a customer, under the customer's name; the burst is at least 1.
   */
  public static BudgetResource ofCustomer(Customer customer) {
    long burst = Math.max(1, customer.burstRequests());
    return new BudgetResource(customer.name(), customer.requestsPerSecond(), burst);
  }
}
