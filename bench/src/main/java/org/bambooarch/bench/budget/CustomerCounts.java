package org.bambooarch.bench.budget;

/**
 * Request counts of one customer with the shared budgets, one ideal central token bucket and static
 * equal shares. The fields without a prefix belong to the shared budgets.
 */
final class CustomerCounts {

  long sent;
  long admitted;
  long refused;
  long unconfirmed;
  long waited;
  long longestWaitNanos;
  long idealRefused;
  long staticRefused;
  long excessAdmitted;

  double refusedShare() {
    return sent == 0 ? 0 : (double) refused / sent;
  }

  double idealRefusedShare() {
    return sent == 0 ? 0 : (double) idealRefused / sent;
  }

  double staticRefusedShare() {
    return sent == 0 ? 0 : (double) staticRefused / sent;
  }
}
