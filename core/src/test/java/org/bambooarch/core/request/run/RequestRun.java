package org.bambooarch.core.request.run;

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

/** One seeded run: callers, instances, targets and a store, with faults of every kind. */
final class RequestRun {

  private static final int INSTANCES = 4;
  private static final int TARGETS = 6;
  private static final int MAX_SENDS = 4;
  private static final long KEY_LIFE_NANOS = 20_000 * RunWorld.MILLI;
  private static final long LENGTH_NANOS = 120_000 * RunWorld.MILLI;
  private static final long DEADLINE_NANOS = 4_000 * RunWorld.MILLI;
  private static final long CALLER_TIMEOUT_NANOS = 5_000 * RunWorld.MILLI;

  private final RunWorld world;
  private final RunStore store;
  private final Set<RunFault> faults;
  private final Map<String, RunTarget> targets = new TreeMap<>();
  private final List<RunInstance> instances = new ArrayList<>();
  private final List<CrashMessage> crashRows = new ArrayList<>();
  private long nextSend = 1;

  private RequestRun(long seed, Set<Protection> off, Set<RunFault> faults) {
    this.faults = faults;
    this.world = new RunWorld(seed, off);
    this.store = new RunStore(world);
    for (int i = 0; i < TARGETS; i++) {
      targets.put("server-" + i, new RunTarget("server-" + i, world));
    }
    for (int i = 0; i < INSTANCES; i++) {
      int index = i;
      instances.add(new RunInstance("entry-" + i, world, store, targets, m -> broadcast(index, m)));
    }
  }

  static RunWorld run(long seed, int requests, Set<Protection> off) {
    return run(seed, requests, off, EnumSet.allOf(RunFault.class));
  }

  static RunWorld run(long seed, int requests, Set<Protection> off, Set<RunFault> faults) {
    RequestRun run = new RequestRun(seed, off, faults);
    run.scheduleControl();
    run.scheduleFaults();
    for (int i = 0; i < requests; i++) {
      run.scheduleRequest(i);
    }
    run.world.runUntilIdle(2 * LENGTH_NANOS);
    return run.world;
  }

  private void scheduleRequest(int index) {
    boolean crashes = index % 200 == 7;
    boolean order = world.chance(0.5);
    RunRequest request = new RunRequest("request-" + index, order, crashes);
    long startNanos = (long) (world.random.nextDouble() * LENGTH_NANOS);
    world.after(startNanos, () -> send(request, 1));
  }

  private void send(RunRequest request, int sends) {
    RunSend send =
        new RunSend(
            nextSend++,
            request,
            RunKeys.key(world.chance(0.8) ? 0 : world.random.nextInt(RunKeys.COUNT)),
            world.clock.monotonicNanos() + DEADLINE_NANOS);
    boolean[] done = new boolean[1];
    long sentNanos = world.clock.monotonicNanos();
    RunInstance instance = instances.get(world.random.nextInt(INSTANCES));
    instance.receive(
        send,
        reply -> {
          world.noteLatency(reply, done[0], sentNanos);
          onReply(request, sends, done, reply);
        });
    if (world.chance(0.03)) {
      world.after(world.millis(0, 200), () -> again(request, sends, new boolean[1], 0));
    }
    world.after(CALLER_TIMEOUT_NANOS, () -> onReply(request, sends, done, new RunReply.Nothing()));
  }

  private void onReply(RunRequest request, int sends, boolean[] done, RunReply reply) {
    if (done[0]) {
      return;
    }
    switch (reply) {
      case RunReply.Answer answer -> done[0] = true;
      case RunReply.Refused(Refusal refusal) ->
          again(request, sends, done, retryAfterMillis(refusal));
      case RunReply.Nothing() -> again(request, sends, done, 0);
    }
    world.count(nameOf(reply));
  }

  private void again(RunRequest request, int sends, boolean[] done, long afterMillis) {
    done[0] = true;
    if (sends < MAX_SENDS) {
      world.after(Math.min(afterMillis, 3_000) * RunWorld.MILLI, () -> send(request, sends + 1));
    }
  }

  private static long retryAfterMillis(Refusal refusal) {
    OptionalLong millis =
        switch (refusal) {
          case NotRun notRun -> notRun.retryAfterMillis();
          case OutcomeUnknown unknown -> unknown.retryAfterMillis();
        };
    return millis.orElse(0);
  }

  private static String nameOf(RunReply reply) {
    return switch (reply) {
      case RunReply.Answer answer -> "answered";
      case RunReply.Refused(NotRun notRun) -> "not-run " + notRun.code();
      case RunReply.Refused(OutcomeUnknown unknown) -> "unknown " + unknown.code();
      case RunReply.Nothing() -> "no-reply";
    };
  }

  private void broadcast(int from, CrashMessage message) {
    crashRows.add(message);
    for (int i = 0; i < INSTANCES; i++) {
      int to = i;
      if (to != from && !instances.get(from).cutOff && !instances.get(to).cutOff) {
        instances
            .get(to)
            .inside(
                world.millis(1, 55),
                () -> instances.get(to).crashes.apply(message, world.clock.wallMillis()));
      }
    }
  }

  private void scheduleControl() {
    for (RunInstance instance : instances) {
      control(instance);
    }
  }

  private void control(RunInstance instance) {
    long askedNanos = world.clock.monotonicNanos();
    instance.noteBlindness();
    if (!store.down) {
      ConfigState state = world.keys.state();
      List<CrashMessage> rows = List.copyOf(crashRows);
      instance.inside(
          world.millis(1, 60), () -> onControlAnswer(instance, state, rows, askedNanos));
    }
    world.after(400 * RunWorld.MILLI, () -> control(instance));
  }

  private void onControlAnswer(
      RunInstance instance, ConfigState state, List<CrashMessage> rows, long askedNanos) {
    instance.keyCheck.publish(state);
    instance.keyCheck.keepFreshUntil(askedNanos + KeyCheck.MAX_STALENESS_NANOS);
    rows.forEach(row -> instance.crashes.apply(row, world.clock.wallMillis()));
  }

  private void withdraw(int key) {
    if (store.down) {
      world.after(100 * RunWorld.MILLI, () -> withdraw(key));
      return;
    }
    world.keys.withdraw(key);
  }

  private void scheduleFaults() {
    for (int i = 1; i < RunKeys.COUNT; i++) {
      int key = i;
      world.after(key * KEY_LIFE_NANOS, () -> withdraw(key));
    }
    RunInstance cut = anyInstance();
    for (RunFault fault : faults) {
      switch (fault) {
        case STORE_DOWN -> every(14_000, () -> store.down = true, 6_000, store::recover);
        case INSTANCE_PAUSED ->
            every(10_000, () -> anyInstance().pause(world.millis(50, 6_000)), 0, () -> {});
        case INSTANCE_DIES -> every(7_000, () -> anyInstance().die(), 0, () -> {});
        case TARGET_DIES -> every(11_000, () -> anyTarget().die(), 0, () -> {});
        case PEERS_CUT_OFF ->
            every(15_000, () -> cut.cutOff = !store.down, 5_000, () -> cut.cutOff = false);
        default -> throw new IllegalStateException("unknown fault " + fault);
      }
    }
  }

  private void every(int meanMillis, Runnable begin, int longestMillis, Runnable end) {
    world.after(
        world.millis(1, 2 * meanMillis),
        () -> {
          begin.run();
          world.after(world.millis(0, longestMillis), end);
          every(meanMillis, begin, longestMillis, end);
        });
  }

  private RunTarget anyTarget() {
    return targets.get("server-" + world.random.nextInt(TARGETS));
  }

  private RunInstance anyInstance() {
    return instances.get(world.random.nextInt(INSTANCES));
  }
}
