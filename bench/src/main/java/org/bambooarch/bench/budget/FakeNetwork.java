package org.bambooarch.bench.budget;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bambooarch.core.budget.BudgetMessage;

/**
 * Delivers messages between instances, with delay and jitter. It can lose, duplicate and reorder
 * them, and isolate instances.
 */
final class FakeNetwork {

  private static final double MAX_JITTER_FRACTION = 0.2;
  private static final long MAX_EXTRA_DELAY_NANOS = 2_000_000_000L;

  private final FleetEventQueue events;
  private final RandomGenerator random;
  private final long sameRegionDelayNanos;
  private final long crossRegionDelayNanos;
  private final Map<String, Consumer<BudgetMessage>> receivers = new HashMap<>();
  private final Map<String, Integer> regionByInstance = new HashMap<>();
  private final Set<String> isolatedInstances = new HashSet<>();
  private double lossRate;
  private double duplicateRate;
  private double extraDelayRate;
  private long messages;
  private long reportEntries;

  FakeNetwork(
      FleetEventQueue events,
      RandomGenerator random,
      long sameRegionDelayNanos,
      long crossRegionDelayNanos) {
    this.events = events;
    this.random = random;
    this.sameRegionDelayNanos = sameRegionDelayNanos;
    this.crossRegionDelayNanos = crossRegionDelayNanos;
  }

  void attach(String name, int region, Consumer<BudgetMessage> receiver) {
    receivers.put(name, receiver);
    regionByInstance.put(name, region);
  }

  /**
   * Sets the probabilities, from 0 to 1, that a message is lost, is delivered twice, or is delayed
   * by up to 2 s more, which reorders messages.
   */
  void setFaults(double loss, double duplicate, double extraDelay) {
    this.lossRate = loss;
    this.duplicateRate = duplicate;
    this.extraDelayRate = extraDelay;
  }

  /**
   * Isolates the named instances from all others, but not from each other, and ends an earlier
   * isolation. Messages that arrive across the cut are dropped.
   */
  void isolate(Set<String> names) {
    isolatedInstances.clear();
    isolatedInstances.addAll(names);
  }

  long messages() {
    return messages;
  }

  /** Returns the number of entries in all share reports that were sent. */
  long reportEntries() {
    return reportEntries;
  }

  void send(String from, String to, BudgetMessage message) {
    messages++;
    if (message instanceof BudgetMessage.ShareReport report) {
      reportEntries += report.entries().size();
    }
    if (!receivers.containsKey(to) || random.nextDouble() < lossRate) {
      return;
    }
    deliverLater(from, to, message);
    if (random.nextDouble() < duplicateRate) {
      deliverLater(from, to, message);
    }
  }

  private void deliverLater(String from, String to, BudgetMessage message) {
    boolean isSameRegion = regionByInstance.get(from).equals(regionByInstance.get(to));
    double delayNanos =
        (isSameRegion ? sameRegionDelayNanos : crossRegionDelayNanos)
            * (1 + MAX_JITTER_FRACTION * random.nextDouble());
    if (random.nextDouble() < extraDelayRate) {
      delayNanos += random.nextDouble() * MAX_EXTRA_DELAY_NANOS;
    }
    events.after((long) delayNanos, () -> deliver(from, to, message));
  }

  private void deliver(String from, String to, BudgetMessage message) {
    if (isolatedInstances.contains(from) == isolatedInstances.contains(to)) {
      receivers.get(to).accept(message);
    }
  }
}
