package org.bambooarch.core.steering.fleet;

/**
 * Decides which of the stopping instances of a region is the last to refuse requests.
 *
 * <p>Instances that are restarted in turn can all be stopping or starting at the same moment. The
 * one whose stop began last then accepts requests until another instance of the region is ready
 * again; the others leave early, so that they are back early.
 */
public final class StopOrder {

  /**
   * Difference below which two stops count as simultaneous, in nanoseconds: 0.1 s. Heartbeats tell
   * the time that is left, which is as inexact as their delay.
   */
  static final long SIMULTANEOUS_NANOS = 100_000_000L;

  private StopOrder() {}

  /**
   * Returns whether the own instance, which is stopping, is to accept requests until another one of
   * its region is ready.
   *
   * @param fleet the other instances
   * @param acceptUntilNanos monotonic time until which the own instance would otherwise accept
   *     requests, in nanoseconds
   */
  public static boolean leavesLast(FleetTable fleet, long acceptUntilNanos, long nowNanos) {
    String region = fleet.self().region();
    if (!fleet.hasRecentInstance(region, nowNanos)) {
      return false;
    }
    for (Heartbeat heartbeat : fleet.liveHeartbeats(nowNanos)) {
      if (heartbeat.takesCallers()
          && !heartbeat.partitionedFromServers()
          && heartbeat.sender().region().equals(region)) {
        return false;
      }
    }
    for (StoppingInstance other : fleet.stoppingInstances(nowNanos)) {
      if (other.identity().region().equals(region)
          && leavesLater(other, fleet.self(), acceptUntilNanos)) {
        return false;
      }
    }
    return true;
  }

  private static boolean leavesLater(
      StoppingInstance other, InstanceIdentity self, long acceptUntilNanos) {
    long laterNanos = other.acceptUntilNanos() - acceptUntilNanos;
    if (Math.abs(laterNanos) < SIMULTANEOUS_NANOS) {
      return other.identity().name().compareTo(self.name()) > 0;
    }
    return laterNanos > 0;
  }
}
