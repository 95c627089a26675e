package org.bambooarch.core.request.simulation;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.key.KeyCheck;
import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.request.OutcomeUnknown;
import org.bambooarch.core.request.Refusal;
import org.bambooarch.core.request.crash.CrashMessage;

/**
 * Simulates callers, instances, targets and a store in virtual time, with injected faults.
 *
 * <p>The same seed gives the same simulation. Violated invariants are collected in {@link
 * SimulationContext#violations}.
 */
final class RequestSimulation {

  private static final int INSTANCES = 4;
  private static final int TARGETS = 6;
  private static final int MAX_CALLER_ATTEMPTS = 4;
  private static final long KEY_WITHDRAWAL_INTERVAL_NANOS =
      20_000 * SimulationContext.NANOS_PER_MILLI;
  private static final long DURATION_NANOS = 120_000 * SimulationContext.NANOS_PER_MILLI;
  private static final long DEADLINE_NANOS = 4_000 * SimulationContext.NANOS_PER_MILLI;
  private static final long CALLER_TIMEOUT_NANOS = 5_000 * SimulationContext.NANOS_PER_MILLI;

  private final SimulationContext context;
  private final SimulatedStore store;
  private final Set<InjectedFault> faults;
  private final Map<String, SimulatedTarget> targets = new TreeMap<>();
  private final List<SimulatedInstance> instances = new ArrayList<>();
  private final List<CrashMessage> crashTableRows = new ArrayList<>();
  private long nextAttemptNumber = 1;

  private RequestSimulation(long seed, Set<Safeguard> disabled, Set<InjectedFault> faults) {
    this.faults = faults;
    this.context = new SimulationContext(seed, disabled);
    this.store = new SimulatedStore(context);
    for (int i = 0; i < TARGETS; i++) {
      targets.put("server-" + i, new SimulatedTarget("server-" + i, context));
    }
    for (int i = 0; i < INSTANCES; i++) {
      int index = i;
      instances.add(
          new SimulatedInstance("entry-" + i, context, store, targets, m -> broadcast(index, m)));
    }
  }

  static SimulationContext run(long seed, int requests, Set<Safeguard> disabled) {
    return run(seed, requests, disabled, EnumSet.allOf(InjectedFault.class));
  }

  static SimulationContext run(
      long seed, int requests, Set<Safeguard> disabled, Set<InjectedFault> faults) {
    RequestSimulation simulation = new RequestSimulation(seed, disabled, faults);
    simulation.schedulePolls();
    simulation.scheduleFaults();
    for (int i = 0; i < requests; i++) {
      simulation.scheduleRequest(i);
    }
    simulation.context.runUntilIdle(2 * DURATION_NANOS);
    return simulation.context;
  }

  private void scheduleRequest(int index) {
    boolean crashesTarget = index % 200 == 7;
    boolean isNonIdempotent = context.chance(0.5);
    SimulatedRequest request =
        new SimulatedRequest("request-" + index, isNonIdempotent, crashesTarget);
    long startNanos = (long) (context.random.nextDouble() * DURATION_NANOS);
    context.schedule(startNanos, () -> send(request, 1));
  }

  private void send(SimulatedRequest request, int attemptNumber) {
    CallerAttempt attempt =
        new CallerAttempt(
            nextAttemptNumber++,
            request,
            SimulatedKeys.key(
                context.chance(0.8) ? 0 : context.random.nextInt(SimulatedKeys.COUNT)),
            context.clock.monotonicNanos() + DEADLINE_NANOS);
    boolean[] done = new boolean[1];
    long sentNanos = context.clock.monotonicNanos();
    SimulatedInstance instance = instances.get(context.random.nextInt(INSTANCES));
    instance.receive(
        attempt,
        reply -> {
          context.recordLatency(reply, done[0], sentNanos);
          onReply(request, attemptNumber, done, reply);
        });
    if (context.chance(0.03)) {
      context.schedule(
          context.randomDelayNanos(0, 200),
          () -> resend(request, attemptNumber, new boolean[1], 0));
    }
    context.schedule(
        CALLER_TIMEOUT_NANOS,
        () -> onReply(request, attemptNumber, done, new CallerReply.NoReply()));
  }

  private void onReply(
      SimulatedRequest request, int attemptNumber, boolean[] done, CallerReply reply) {
    if (done[0]) {
      return;
    }
    switch (reply) {
      case CallerReply.Response response -> done[0] = true;
      case CallerReply.Refused(Refusal refusal) ->
          resend(request, attemptNumber, done, retryAfterMillis(refusal));
      case CallerReply.NoReply() -> resend(request, attemptNumber, done, 0);
    }
    context.count(nameOf(reply));
  }

  private void resend(
      SimulatedRequest request, int attemptNumber, boolean[] done, long afterMillis) {
    done[0] = true;
    if (attemptNumber < MAX_CALLER_ATTEMPTS) {
      context.schedule(
          Math.min(afterMillis, 3_000) * SimulationContext.NANOS_PER_MILLI,
          () -> send(request, attemptNumber + 1));
    }
  }

  private static long retryAfterMillis(Refusal refusal) {
    OptionalLong millis =
        switch (refusal) {
          case NotRun notRun -> notRun.retryAfterMillis();
          case OutcomeUnknown outcomeUnknown -> outcomeUnknown.retryAfterMillis();
        };
    return millis.orElse(0);
  }

  private static String nameOf(CallerReply reply) {
    return switch (reply) {
      case CallerReply.Response response -> "answered";
      case CallerReply.Refused(NotRun notRun) -> "not-run " + notRun.code();
      case CallerReply.Refused(OutcomeUnknown outcomeUnknown) -> "unknown " + outcomeUnknown.code();
      case CallerReply.NoReply() -> "no-reply";
    };
  }

  private void broadcast(int from, CrashMessage message) {
    crashTableRows.add(message);
    for (int i = 0; i < INSTANCES; i++) {
      int to = i;
      if (to != from && !instances.get(from).isPartitioned && !instances.get(to).isPartitioned) {
        instances
            .get(to)
            .schedule(
                context.randomDelayNanos(1, 55),
                () -> instances.get(to).crashes.apply(message, context.clock.wallMillis()));
      }
    }
  }

  private void schedulePolls() {
    for (SimulatedInstance instance : instances) {
      pollStore(instance);
    }
  }

  private void pollStore(SimulatedInstance instance) {
    long askedNanos = context.clock.monotonicNanos();
    instance.noteIfCutOffFromCrashReports();
    if (!store.down) {
      ConfigState state = context.keys.state();
      List<CrashMessage> rows = List.copyOf(crashTableRows);
      instance.schedule(
          context.randomDelayNanos(1, 60), () -> onPollResponse(instance, state, rows, askedNanos));
    }
    context.schedule(400 * SimulationContext.NANOS_PER_MILLI, () -> pollStore(instance));
  }

  private void onPollResponse(
      SimulatedInstance instance, ConfigState state, List<CrashMessage> rows, long askedNanos) {
    instance.keyCheck.publish(state);
    instance.keyCheck.keepFreshUntil(askedNanos + KeyCheck.MAX_STALENESS_NANOS);
    rows.forEach(row -> instance.crashes.apply(row, context.clock.wallMillis()));
  }

  private void withdraw(int key) {
    if (store.down) {
      context.schedule(100 * SimulationContext.NANOS_PER_MILLI, () -> withdraw(key));
      return;
    }
    context.keys.withdraw(key);
  }

  private void scheduleFaults() {
    for (int i = 1; i < SimulatedKeys.COUNT; i++) {
      int key = i;
      context.schedule(key * KEY_WITHDRAWAL_INTERVAL_NANOS, () -> withdraw(key));
    }
    SimulatedInstance partitionedInstance = randomInstance();
    for (InjectedFault fault : faults) {
      switch (fault) {
        case STORE_DOWN ->
            scheduleRepeatedly(14_000, () -> store.down = true, 6_000, store::recover);
        case INSTANCE_PAUSED ->
            scheduleRepeatedly(
                10_000,
                () -> randomInstance().pause(context.randomDelayNanos(50, 6_000)),
                0,
                () -> {});
        case INSTANCE_RESTARTS ->
            scheduleRepeatedly(7_000, () -> randomInstance().restart(), 0, () -> {});
        case TARGET_CRASHES ->
            scheduleRepeatedly(11_000, () -> randomTarget().crash(), 0, () -> {});
        case PEERS_PARTITIONED ->
            scheduleRepeatedly(
                15_000,
                () -> partitionedInstance.isPartitioned = !store.down,
                5_000,
                () -> partitionedInstance.isPartitioned = false);
        default -> throw new IllegalStateException("unknown fault " + fault);
      }
    }
  }

  private void scheduleRepeatedly(
      int meanIntervalMillis, Runnable start, int maxDurationMillis, Runnable end) {
    context.schedule(
        context.randomDelayNanos(1, 2 * meanIntervalMillis),
        () -> {
          start.run();
          context.schedule(context.randomDelayNanos(0, maxDurationMillis), end);
          scheduleRepeatedly(meanIntervalMillis, start, maxDurationMillis, end);
        });
  }

  private SimulatedTarget randomTarget() {
    return targets.get("server-" + context.random.nextInt(TARGETS));
  }

  private SimulatedInstance randomInstance() {
    return instances.get(context.random.nextInt(INSTANCES));
  }
}
