package org.bambooarch.entry.control;

import java.util.List;
import java.util.OptionalLong;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.entry.request.RouteTable;
import org.bambooarch.store.InstanceRecord;

/**
 * An immutable view of the fleet, published by the control thread and read by request threads.
 *
 * @param config the configuration in force
 * @param routes routes of that configuration, in the order of matching
 * @param instances instances of the list last read, live and leaving ones
 * @param keysFreshUntilNanos monotonic deadline after which no key may be accepted, because it may
 *     have been withdrawn; empty until the configuration was first confirmed to be the newest
 * @param confirmedNanos monotonic time at which the configuration was last known to be the newest;
 *     empty until it first was
 * @param knownHeadVersion highest version that is known to be committed
 */
public record FleetView(
    ConfigState config,
    RouteTable routes,
    List<InstanceRecord> instances,
    OptionalLong keysFreshUntilNanos,
    OptionalLong confirmedNanos,
    long knownHeadVersion) {

  /**
   * Longest time since the configuration was confirmed for which requests may be refused for good
   * by it, in nanoseconds: 3 s. Changes are in force on all instances after that time.
   */
  private static final long MAX_CONFIRMED_AGE_NANOS = 3_000_000_000L;

  /** Copies the list of instances. */
  public FleetView {
    instances = List.copyOf(instances);
  }

  /** Returns the view of an instance that has not read anything yet. */
  public static FleetView empty() {
    ConfigState initial = ConfigState.initial();
    return new FleetView(
        initial,
        RouteTable.of(initial.inventory()),
        List.of(),
        OptionalLong.empty(),
        OptionalLong.empty(),
        0);
  }

  /**
   * Returns whether the keys in force are known to be the newest.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  public boolean areKeysFresh(long nowNanos) {
    return keysFreshUntilNanos.isPresent() && nowNanos - keysFreshUntilNanos.getAsLong() < 0;
  }

  /**
   * Returns whether the configuration is known to be the newest, so that requests that it does not
   * permit may be refused for good: that was confirmed lately, and no newer version is known.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  public boolean isConfirmedNewest(long nowNanos) {
    return knownHeadVersion <= config.version()
        && confirmedNanos.isPresent()
        && nowNanos - confirmedNanos.getAsLong() <= MAX_CONFIRMED_AGE_NANOS;
  }
}
