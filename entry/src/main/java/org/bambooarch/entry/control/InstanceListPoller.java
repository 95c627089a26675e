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
 * Reads the platform's list of instances from time to time.
 *
 * <p>The interval grows with the size of the fleet, so that all instances together read the list at
 * a bounded rate. While the list cannot be read, the last one stays in use, at first the seeds of
 * the settings.
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
    instances = instanceList.current();
  }

  /** Starts a read when one is due; returns whether a new list has arrived since the last tick. */
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

  private long intervalNanos() {
    long minIntervalOfFleetNanos = instances.size() * INTERVAL_PER_INSTANCE_NANOS;
    long intervalNanos = Math.max(MIN_INTERVAL_NANOS, minIntervalOfFleetNanos);
    return intervalNanos - random.get().nextLong(intervalNanos / 4);
  }

  private void readAndReport() {
    try {
      List<InstanceRecord> current = instanceList.current();
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
