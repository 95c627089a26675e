package org.bambooarch.bench.budget;

/** Counts of one customer under the three ways of keeping its budget. */
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
