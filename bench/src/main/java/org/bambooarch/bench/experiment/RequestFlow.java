package org.bambooarch.bench.experiment;

import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.link.LinkBudget;

/** Moves one request through an instance, a link and a target and back. */
final class RequestFlow {

  private static final int MAX_ATTEMPTS = 6;
  private static final int MAX_FAILURES = 2;
  private static final long ERROR_NANOS = 2_000_000L;

  private final Simulation run;

  RequestFlow(Simulation run) {
    this.run = run;
  }

  void receive(int instance, Request request) {
    if (!run.fleet.alive[instance]) {
      unreachable(request);
      return;
    }
    Steering.Step step = run.fleet.steering[instance].place(request);
    if (step == Steering.Step.SEND) {
      send(instance, request);
    } else if (step == Steering.Step.REFUSE) {
      refuse(request);
    }
  }

  void drainQueues(int instance) {
    Steering steering = run.fleet.steering[instance];
    for (Request ready : steering.takeReady()) {
      send(instance, ready);
    }
    for (Request expired : steering.takeExpired()) {
      refuse(expired);
    }
  }

  void unreachable(Request request) {
    if (run.isMeasured(request)) {
      run.results.unreachable++;
      run.results.refused[request.customer]++;
    }
  }

  private void refuse(Request request) {
    if (run.isMeasured(request)) {
      run.results.refused[request.customer]++;
    }
  }

  private void send(int instance, Request request) {
    request.attempts++;
    request.sentNanos = run.events.nowNanos();
    if (run.isMeasured(request)) {
      run.results.attempts++;
    }
    Steering steering = run.fleet.steering[instance];
    FakeTarget target = run.targets[request.server];
    run.events.after(
        delayNanos(instance, target), () -> reach(steering, instance, target, request));
  }

  private void reach(Steering steering, int instance, FakeTarget target, Request request) {
    if (target.dead) {
      back(steering, instance, target, request, Steering.End.FAILED, true);
      return;
    }
    if (target.running >= target.slots) {
      if (run.isMeasured(request)) {
        run.results.sheds++;
      }
      back(steering, instance, target, request, Steering.End.SHED, true);
      return;
    }
    target.running++;
    int generation = target.generation;
    long serviceNanos =
        target.failing ? ERROR_NANOS : target.serviceNanos(request.route, run.random);
    run.events.after(serviceNanos, () -> serve(steering, instance, target, request, generation));
  }

  private void serve(
      Steering steering, int instance, FakeTarget target, Request request, int generation) {
    if (target.generation != generation) {
      back(steering, instance, target, request, Steering.End.FAILED, false);
      return;
    }
    if (target.failing) {
      target.running--;
      back(steering, instance, target, request, Steering.End.FAILED, false);
      return;
    }
    moveBody(steering, instance, target, request, generation, request.answerBytes());
  }

  /** Moves the answer's bytes, paced by the link's budget if the policy has one. */
  private void moveBody(
      Steering steering,
      int instance,
      FakeTarget target,
      Request request,
      int generation,
      long bytesLeft) {
    if (target.generation != generation) {
      back(steering, instance, target, request, Steering.End.FAILED, false);
      return;
    }
    LinkBudget pacer = steering.pacer(request);
    PriorityClass rank = request.declaredRank();
    long moved = pacer == null ? bytesLeft : pacer.acquireUpTo(bytesLeft, rank);
    int to = run.fleet.regionOf(instance);
    run.network.move(target.region, to, run.events.nowNanos(), moved);
    if (moved < bytesLeft) {
      long rest = bytesLeft - moved;
      run.events.after(
          Math.max(1, pacer.nanosUntilGrant(rank)),
          () -> moveBody(steering, instance, target, request, generation, rest));
      return;
    }
    target.running--;
    back(steering, instance, target, request, Steering.End.ANSWERED, false);
  }

  private void back(
      Steering steering,
      int instance,
      FakeTarget target,
      Request request,
      Steering.End end,
      boolean notRun) {
    run.events.after(
        delayNanos(instance, target), () -> finish(steering, instance, request, end, notRun));
  }

  private void finish(
      Steering steering, int instance, Request request, Steering.End end, boolean notRun) {
    steering.ended(request, end, run.events.nowNanos() - request.sentNanos);
    boolean isCurrent = run.fleet.alive[instance] && run.fleet.steering[instance] == steering;
    if (!isCurrent) {
      fail(request);
      return;
    }
    if (end == Steering.End.ANSWERED) {
      answer(instance, request);
    } else {
      retryOrGiveUp(instance, request, end, notRun);
    }
    drainQueues(instance);
  }

  private void retryOrGiveUp(int instance, Request request, Steering.End end, boolean notRun) {
    if (end == Steering.End.FAILED) {
      request.failures++;
    }
    boolean mayRepeat = notRun || request.isIdempotent();
    boolean isQueued = request.chosen != null && end == Steering.End.SHED;
    boolean hasAttemptsLeft = isQueued || request.attempts < MAX_ATTEMPTS;
    if (mayRepeat && hasAttemptsLeft && request.failures <= MAX_FAILURES) {
      if (end == Steering.End.FAILED || request.chosen == null) {
        request.exclude(request.server);
      }
      receive(instance, request);
      return;
    }
    if (notRun) {
      refuse(request);
    } else {
      fail(request);
    }
  }

  private void fail(Request request) {
    if (run.isMeasured(request)) {
      run.results.failed[request.customer]++;
    }
  }

  private void answer(int instance, Request request) {
    int from = run.fleet.regionOf(instance);
    run.network.move(from, request.clientRegion, run.events.nowNanos(), request.answerBytes());
    run.events.after(
        run.network.callerDelayNanos(request.clientRegion, from),
        () -> {
          if (run.isMeasured(request)) {
            run.results.answered(request, run.events.nowNanos());
          }
        });
  }

  private long delayNanos(int instance, FakeTarget target) {
    return run.network.delayNanos(run.fleet.regionOf(instance), target.region);
  }
}
