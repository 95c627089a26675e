package org.bambooarch.bench.experiment;

import java.util.Arrays;
import java.util.Random;

/** Callers in rows; each keeps the instance that a look-up named until the answer expires. */
final class Callers {

  static final int PER_CUSTOMER_AND_REGION = 10;
  static final int NO_INSTANCE = -1;

  private static final long ANSWER_LIFETIME_NANOS = 30_000_000_000L;

  private final int[] instance;
  private final long[] expiresNanos;
  private final int regions;
  private final Random random;

  Callers(int customers, int regions, Random random) {
    this.regions = regions;
    this.random = random;
    instance = new int[customers * regions * PER_CUSTOMER_AND_REGION];
    expiresNanos = new long[instance.length];
    Arrays.fill(instance, NO_INSTANCE);
  }

  int count() {
    return instance.length;
  }

  /** Returns any caller of a customer in a region. */
  int pick(int customer, int region) {
    int group = customer * regions + region;
    return group * PER_CUSTOMER_AND_REGION + random.nextInt(PER_CUSTOMER_AND_REGION);
  }

  /** Returns the instance that a caller uses, after a look-up if it needs one. */
  int instanceOf(int caller, int region, Fleet fleet, long nowNanos) {
    int known = instance[caller];
    boolean isFresh = nowNanos < expiresNanos[caller];
    if (known != NO_INSTANCE && isFresh && fleet.alive[known]) {
      return known;
    }
    instance[caller] = fleet.lookUp(region);
    expiresNanos[caller] = nowNanos + ANSWER_LIFETIME_NANOS;
    int found = instance[caller];
    return found != NO_INSTANCE && fleet.alive[found] ? found : NO_INSTANCE;
  }
}
