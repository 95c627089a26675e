package org.bambooarch.entry.control;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bambooarch.core.time.Clock;
import org.bambooarch.store.InstanceList;
import org.bambooarch.store.InstanceRecord;
import org.bambooarch.store.PlatformException;
import org.tinylog.Logger;

/**
 * Reads the platform's list of instances periodically.
 *
 * <p>The interval grows with the number of instances, so that all of them together read the list at
 * a bounded rate. If a read fails, the last list stays in use; before the first successful read,
 * that is the list of seed peers from the settings.
 *
 * <p>All methods run on the control thread; reads run on virtual threads.
 */
final class InstanceListPoller {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long MIN_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;
  private static final long INTERVAL_PER_INSTANCE_NANOS = 20 * NANOS_PER_MILLI;

  private final InstanceList instanceList;
  private final Clock clock;
  private final Supplier<RandomGenerator> random;
  private final Executor control;
  private List<InstanceRecord> instances = List.of();
  private boolean reading;
  private boolean changed;
  private boolean lastReadFailed;
  private long nextReadNanos;

  InstanceListPoller(
      InstanceList instanceList,
      Clock clock,
      Supplier<RandomGenerator> random,
      Executor control,
      List<InstanceRecord> seedPeers) {
    this.instances = seedPeers;
    this.instanceList = instanceList;
    this.clock = clock;
    this.random = random;
    this.control = control;
    this.nextReadNanos = clock.monotonicNanos();
  }

  List<InstanceRecord> instances() {
    return instances;
  }

  void readAndWait() throws PlatformException {
    instances = instanceList.listInstances();
  }

  /** Starts a read if one is due; returns whether the list has changed since the last tick. */
  boolean tick() {
    long nowNanos = clock.monotonicNanos();
    if (!reading && nowNanos - nextReadNanos >= 0) {
      reading = true;
      nextReadNanos = nowNanos + intervalNanos();
      Thread.startVirtualThread(this::readAndReport);
    }
    boolean changedSinceLastTick = changed;
    changed = false;
    return changedSinceLastTick;
  }

  /** Returns the interval until the next read, shortened at random by up to a quarter. */
  private long intervalNanos() {
    long minIntervalOfFleetNanos = instances.size() * INTERVAL_PER_INSTANCE_NANOS;
    long intervalNanos = Math.max(MIN_INTERVAL_NANOS, minIntervalOfFleetNanos);
    return intervalNanos - random.get().nextLong(intervalNanos / 4);
  }

  private void readAndReport() {
    try {
      List<InstanceRecord> current = instanceList.listInstances();
      control.execute(() -> onListRead(current));
    } catch (PlatformException e) {
      control.execute(() -> onReadFailed(e));
    }
  }

  private void onListRead(List<InstanceRecord> current) {
    reading = false;
    lastReadFailed = false;
    changed = changed || !current.equals(instances);
    instances = current;
  }

  private void onReadFailed(PlatformException cause) {
    reading = false;
    if (!lastReadFailed) {
      lastReadFailed = true;
      Logger.warn("event=instance-list-read-failed reason=\"{}\"", cause.getMessage());
    }
  }
}
