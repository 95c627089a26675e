package org.bambooarch.bench.budget;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.bambooarch.core.time.ManualClock;

/** Runs actions in the order of their time and moves a manual clock along. */
final class FleetEventQueue {

  private record Event(long atNanos, long sequence, Runnable action) {}

  private final ManualClock clock;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparing(Event::sequence));
  private long sequence;

  FleetEventQueue(ManualClock clock) {
    this.clock = clock;
  }

  long nowNanos() {
    return clock.monotonicNanos();
  }

  void after(long delayNanos, Runnable action) {
    sequence++;
    events.add(new Event(nowNanos() + delayNanos, sequence, action));
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.remove();
      clock.advanceNanos(event.atNanos() - nowNanos());
      event.action().run();
    }
    clock.advanceNanos(endNanos - nowNanos());
  }
}
