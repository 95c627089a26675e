package org.bambooarch.bench.budget;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bambooarch.core.budget.BudgetMessage;

/** Carries messages with delay, loss, repetition, reordering and cuts. */
final class FakeNetwork {

  private static final double JITTER = 0.2;
  private static final long STRAY_NANOS = 2_000_000_000L;

  private final EventQueue events;
  private final RandomGenerator random;
  private final long nearNanos;
  private final long farNanos;
  private final Map<String, Consumer<BudgetMessage>> receivers = new HashMap<>();
  private final Map<String, Integer> regions = new HashMap<>();
  private final Set<String> cutOff = new HashSet<>();
  private double lossRate;
  private double repeatRate;
  private double strayRate;
  private long messages;
  private long entries;

  FakeNetwork(EventQueue events, RandomGenerator random, long nearNanos, long farNanos) {
    this.events = events;
    this.random = random;
    this.nearNanos = nearNanos;
    this.farNanos = farNanos;
  }

  void attach(String name, int region, Consumer<BudgetMessage> receiver) {
    receivers.put(name, receiver);
    regions.put(name, region);
  }

  void setFaults(double loss, double repeat, double stray) {
    this.lossRate = loss;
    this.repeatRate = repeat;
    this.strayRate = stray;
  }

  /** Cuts the named instances off from all others, but not from each other. */
  void cutOff(Set<String> names) {
    cutOff.clear();
    cutOff.addAll(names);
  }

  long messages() {
    return messages;
  }

  long entries() {
    return entries;
  }

  void send(String from, String to, BudgetMessage message) {
    messages++;
    if (message instanceof BudgetMessage.ShareReport report) {
      entries += report.entries().size();
    }
    if (!receivers.containsKey(to) || random.nextDouble() < lossRate) {
      return;
    }
    deliverLater(from, to, message);
    if (random.nextDouble() < repeatRate) {
      deliverLater(from, to, message);
    }
  }

  private void deliverLater(String from, String to, BudgetMessage message) {
    boolean near = regions.get(from).equals(regions.get(to));
    double delayNanos = (near ? nearNanos : farNanos) * (1 + JITTER * random.nextDouble());
    if (random.nextDouble() < strayRate) {
      delayNanos += random.nextDouble() * STRAY_NANOS;
    }
    events.after((long) delayNanos, () -> deliver(from, to, message));
  }

  private void deliver(String from, String to, BudgetMessage message) {
    if (cutOff.contains(from) == cutOff.contains(to)) {
      receivers.get(to).accept(message);
    }
  }
}
