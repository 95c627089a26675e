package org.bambooarch.core.steering.load;

import java.util.PriorityQueue;

/** A simulated clock that runs events in the order of their times. */
final class EventClock {

  private record Event(double atMillis, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private static final double NANOS_PER_MILLI = 1e6;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private double nowMillis;
  private long count;

  double nowMillis() {
    return nowMillis;
  }

  long nowNanos() {
    return (long) (nowMillis * NANOS_PER_MILLI);
  }

  void at(double millis, Runnable action) {
    events.add(new Event(Math.max(millis, nowMillis), count++, action));
  }

  void after(double millis, Runnable action) {
    at(nowMillis + millis, action);
  }

  void runUntil(double endMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
  }
}
