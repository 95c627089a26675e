package org.bambooarch.bench.experiment;

import java.util.Arrays;
import java.util.Random;

/**
 * The callers, 10 for each customer and region. Each keeps the instance that its last look-up
 * returned until that result expires after 30 s.
 */
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

  /** Returns the index of a random caller of a customer in a region. */
  int randomCaller(int customer, int region) {
    int group = customer * regions + region;
    return group * CALLERS_PER_CUSTOMER_AND_REGION
        + random.nextInt(CALLERS_PER_CUSTOMER_AND_REGION);
  }

  /**
   * Returns the instance that a caller uses, or {@link #NO_INSTANCE} if it has none that is alive.
   *
   * <p>The caller looks up again if its result has expired, or if its instance is dead or drained;
   * a drained instance tells its callers to look up again. If the look-up returns no instance, the
   * caller keeps the one that it has while that one is alive.
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
