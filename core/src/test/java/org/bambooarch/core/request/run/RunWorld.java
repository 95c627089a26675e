package org.bambooarch.core.request.run;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.bambooarch.core.time.ManualClock;

/** The clock, the queue of events and the invariants of one seeded run. */
final class RunWorld {

  static final long MILLI = 1_000_000L;

  private record Event(long atNanos, long number, Runnable action) {}

  final ManualClock clock = ManualClock.startingAtZero();
  final Random random;
  final Set<Protection> off;
  final List<String> violations = new ArrayList<>();
  final RunKeys keys = new RunKeys(this);
  final TreeMap<String, Integer> tally = new TreeMap<>();

  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
  private final Map<String, Integer> executionsByOrder = new HashMap<>();
  private final Set<Long> sendsSeenByTargets = new HashSet<>();
  private final Map<String, Set<String>> killsByRequest = new HashMap<>();
  private long nextNumber;

  RunWorld(long seed, Set<Protection> off) {
    this.random = new Random(seed);
    this.off = off;
  }

  void after(long delayNanos, Runnable action) {
    queue.add(new Event(clock.monotonicNanos() + Math.max(0, delayNanos), nextNumber++, action));
  }

  void runUntilIdle(long limitNanos) {
    while (!queue.isEmpty() && queue.peek().atNanos() < limitNanos) {
      Event event = queue.poll();
      clock.advanceNanos(event.atNanos() - clock.monotonicNanos());
      event.action().run();
    }
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  long millis(int low, int high) {
    return (low + random.nextInt(high - low + 1)) * MILLI;
  }

  void count(String what) {
    tally.merge(what, 1, Integer::sum);
  }

  void check(boolean holds, String violation) {
    if (!holds) {
      violations.add(clock.wallMillis() + " ms: " + violation);
    }
  }

  void onExecution(RunSend send, List<String> headerValues) {
    sendsSeenByTargets.add(send.number());
    check(headerValues.stream().noneMatch(v -> v.contains(send.key())), "a target saw a key");
    if (send.request().isOrder()) {
      int runs = executionsByOrder.merge(send.request().name(), 1, Integer::sum);
      check(runs == 1, "order " + send.request().name() + " ran " + runs + " times");
    }
  }

  void onKill(RunSend send, String server) {
    Set<String> killed =
        killsByRequest.computeIfAbsent(send.request().name(), r -> new HashSet<>());
    killed.add(server);
    check(killed.size() <= 2, send.request().name() + " took " + killed.size() + " servers");
  }

  void onNotRun(RunSend send, String code, boolean recordHeld) {
    check(
        !sendsSeenByTargets.contains(send.number()), "not run (" + code + ") but a target saw it");
    boolean ran = executionsByOrder.containsKey(send.request().name());
    check(!recordHeld || !ran, "not run (" + code + ") with the record held, but the order ran");
  }

  void onAnswer(RunSend send, String body) {
    String expected = send.request().expectedBody();
    check(body.equals(expected), "expected " + expected + " but the caller got " + body);
  }
}
