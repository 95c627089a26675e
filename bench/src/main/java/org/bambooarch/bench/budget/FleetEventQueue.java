package org.bambooarch.bench.budget;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.bambooarch.core.time.ManualClock;

/**
 * Runs scheduled actions in order of time and advances a manual clock to the time of each. Actions
 * of the same time run in the order in which they were scheduled.
 */
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

  /** Runs all actions that are due by the given time, then sets the clock to that time. */
  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.remove();
      clock.advanceNanos(event.atNanos() - nowNanos());
      event.action().run();
    }
    clock.advanceNanos(endNanos - nowNanos());
  }
}
