package org.bambooarch.core.request.simulation;

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

/** The clock, the event queue and the invariants of one seeded simulation. */
final class SimulationContext {

  static final long NANOS_PER_MILLI = 1_000_000L;

  private record Event(long atNanos, long number, Runnable action) {}

  final ManualClock clock = ManualClock.startingAtZero();
  final Random random;
  final Set<Safeguard> disabled;
  final List<String> violations = new ArrayList<>();
  final List<Long> responseTimesMillis = new ArrayList<>();
  final SimulatedKeys keys = new SimulatedKeys(this);
  final TreeMap<String, Integer> counts = new TreeMap<>();

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
  private final Map<String, Integer> executionsByNonIdempotentRequest = new HashMap<>();
  private final Set<Long> attemptsSeenByTargets = new HashSet<>();
  private final Map<String, Set<String>> crashedServersByRequest = new HashMap<>();
  private long nextEventNumber;

  SimulationContext(long seed, Set<Safeguard> disabled) {
    this.random = new Random(seed);
    this.disabled = disabled;
  }

  void schedule(long delayNanos, Runnable action) {
    events.add(
        new Event(clock.monotonicNanos() + Math.max(0, delayNanos), nextEventNumber++, action));
  }

  void runUntilIdle(long limitNanos) {
    while (!events.isEmpty() && events.peek().atNanos() < limitNanos) {
      Event event = events.poll();
      clock.advanceNanos(event.atNanos() - clock.monotonicNanos());
      event.action().run();
    }
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  long randomDelayNanos(int minMillis, int maxMillis) {
    return (minMillis + random.nextInt(maxMillis - minMillis + 1)) * NANOS_PER_MILLI;
  }

  void count(String what) {
    counts.merge(what, 1, Integer::sum);
  }

  void recordLatency(CallerReply reply, boolean isTooLate, long sentNanos) {
    if (reply instanceof CallerReply.Response && !isTooLate) {
      responseTimesMillis.add((clock.monotonicNanos() - sentNanos) / NANOS_PER_MILLI);
    }
  }

  void check(boolean holds, String violation) {
    if (!holds) {
      violations.add(clock.wallMillis() + " ms: " + violation);
    }
  }

  void onExecution(CallerAttempt attempt, List<String> headerValues) {
    attemptsSeenByTargets.add(attempt.number());
    check(
        headerValues.stream().noneMatch(v -> v.contains(attempt.key())),
        "a target received the caller's API key");
    if (attempt.request().isNonIdempotent()) {
      int executions =
          executionsByNonIdempotentRequest.merge(attempt.request().name(), 1, Integer::sum);
      check(
          executions == 1,
          "non-idempotent request " + attempt.request().name() + " ran " + executions + " times");
    }
  }

  void onServerCrash(CallerAttempt attempt, String server) {
    Set<String> crashedServers =
        crashedServersByRequest.computeIfAbsent(attempt.request().name(), r -> new HashSet<>());
    crashedServers.add(server);
    check(
        crashedServers.size() <= 2,
        attempt.request().name() + " crashed " + crashedServers.size() + " servers");
  }

  void onNotRun(CallerAttempt attempt, String code, boolean recordAcquired) {
    check(
        !attemptsSeenByTargets.contains(attempt.number()),
        "not run (" + code + "), but a target received it");
    boolean ran = executionsByNonIdempotentRequest.containsKey(attempt.request().name());
    check(
        !recordAcquired || !ran,
        "not run (" + code + ") with the record acquired, but the request ran");
  }

  void onResponse(CallerAttempt attempt, String body) {
    String expected = attempt.request().expectedBody();
    check(body.equals(expected), "expected " + expected + ", but the caller got " + body);
  }
}
