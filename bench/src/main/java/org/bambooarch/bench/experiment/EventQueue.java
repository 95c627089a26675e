package org.bambooarch.bench.experiment;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.bambooarch.core.time.ManualClock;

/**
 * Runs events in order of time and advances a manual clock to the time of each. Events of the same
 * time run in the order in which they were added.
 */
final class EventQueue {

  private record Event(long atNanos, long sequence, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
  private final ManualClock clock;
  private long nextSequence;

  EventQueue(ManualClock clock) {
    this.clock = clock;
  }

  long nowNanos() {
    return clock.monotonicNanos();
  }

  /** Schedules an action; a negative delay counts as zero. */
  void after(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos() + Math.max(0, delayNanos), nextSequence++, action));
  }

  /** Runs all events that are due by the given time; the clock stays at the last of them. */
  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.poll();
      clock.advanceNanos(event.atNanos() - nowNanos());
      event.action().run();
    }
  }
}
