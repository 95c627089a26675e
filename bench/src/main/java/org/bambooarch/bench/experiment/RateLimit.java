package org.bambooarch.bench.experiment;

import java.util.List;
import org.bambooarch.core.inventory.Customer;

/**
 * One ideal token bucket for each customer over all instances together. It is the same for every
 * policy.
 */
final class RateLimit {

  private static final double NANOS_PER_SECOND = 1e9;

  private final List<Customer> customers;
  private final double[] tokens;
  private final long[] updatedNanos;

  RateLimit(List<Customer> customers) {
    this.customers = customers;
    tokens = new double[customers.size()];
    updatedNanos = new long[customers.size()];
    for (int index = 0; index < tokens.length; index++) {
      tokens[index] = customers.get(index).burstRequests();
    }
  }

  boolean tryTake(int customer, long nowNanos) {
    Customer limits = customers.get(customer);
    double earned =
        (nowNanos - updatedNanos[customer]) / NANOS_PER_SECOND * limits.requestsPerSecond();
    tokens[customer] = Math.min(limits.burstRequests(), tokens[customer] + earned);
    updatedNanos[customer] = nowNanos;
    if (tokens[customer] < 1) {
      return false;
    }
    tokens[customer]--;
    return true;
  }
}
