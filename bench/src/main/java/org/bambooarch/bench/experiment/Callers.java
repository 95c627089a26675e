package org.bambooarch.bench.experiment;

import java.util.Arrays;
import java.util.Random;

/** Callers in rows; each keeps the instance that a look-up named until the answer expires. */
final class Callers {

  static final int CALLERS_PER_CUSTOMER_AND_REGION = 10;
  static final int NO_INSTANCE = -1;

  private static final long LOOKUP_LIFETIME_NANOS = 30_000_000_000L;

  private final int[] assignedInstances;
  private final long[] expiresNanos;
  private final int regions;
  private final Random random;

  Callers(int customers, int regions, Random random) {
    this.regions = regions;
    this.random = random;
    assignedInstances = new int[customers * regions * CALLERS_PER_CUSTOMER_AND_REGION];
    expiresNanos = new long[assignedInstances.length];
    Arrays.fill(assignedInstances, NO_INSTANCE);
  }

  int count() {
    return assignedInstances.length;
  }

  /** Returns any caller of a customer in a region. */
  int randomCaller(int customer, int region) {
    int group = customer * regions + region;
    return group * CALLERS_PER_CUSTOMER_AND_REGION
        + random.nextInt(CALLERS_PER_CUSTOMER_AND_REGION);
  }

  /**
   * Returns the instance that a caller uses, after a look-up if it needs one.
   *
   * <p>A drained instance tells its callers to look up again; a caller whom the look-up sends
   * nowhere stays with it.
   */
  int instanceOf(int caller, int region, Fleet fleet, long nowNanos) {
    int known = assignedInstances[caller];
    boolean isFresh = nowNanos < expiresNanos[caller];
    boolean isAlive = known != NO_INSTANCE && fleet.alive[known];
    if (isFresh && isAlive && !fleet.drained[known]) {
      return known;
    }
    int lookedUp = fleet.lookUp(region);
    if (lookedUp == NO_INSTANCE && isAlive) {
      return known;
    }
    assignedInstances[caller] = lookedUp;
    expiresNanos[caller] = nowNanos + LOOKUP_LIFETIME_NANOS;
    int found = assignedInstances[caller];
    return found != NO_INSTANCE && fleet.alive[found] ? found : NO_INSTANCE;
  }
}
