package org.bambooarch.bench.experiment;

import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.link.LinkBudget;

/**
 * Simulates the path of a request: from the instance to a target, its service there, the transfer
 * of its answer and retries. Records the outcome of requests of the measured period.
 */
final class RequestLifecycle {

  private static final int MAX_ATTEMPTS = 6;
  private static final int MAX_FAILURES = 2;
  private static final long ERROR_SERVICE_NANOS = 2_000_000L;

  private final Simulation simulation;

  RequestLifecycle(Simulation simulation) {
    this.simulation = simulation;
  }

  void receive(int instance, Request request) {
    if (!simulation.fleet.alive[instance]) {
      recordUnreachable(request);
      return;
    }
    RoutingStrategy.Decision decision = simulation.fleet.strategies[instance].selectServer(request);
    if (decision == RoutingStrategy.Decision.SEND) {
      send(instance, request);
    } else if (decision == RoutingStrategy.Decision.REFUSE) {
      recordRefused(request);
    }
  }

  void sendReadyAndRefuseExpired(int instance) {
    RoutingStrategy strategy = simulation.fleet.strategies[instance];
    for (Request ready : strategy.takeReady()) {
      send(instance, ready);
    }
    for (Request expired : strategy.takeExpired()) {
      recordRefused(expired);
    }
  }

  void recordUnreachable(Request request) {
    if (simulation.isMeasured(request)) {
      simulation.results.unreachable++;
      simulation.results.refused[request.customer]++;
    }
  }

  private void recordRefused(Request request) {
    if (simulation.isMeasured(request)) {
      simulation.results.refused[request.customer]++;
    }
  }

  private void send(int instance, Request request) {
    request.attempts++;
    request.sentNanos = simulation.events.nowNanos();
    if (simulation.isMeasured(request)) {
      simulation.results.attempts++;
    }
    RoutingStrategy strategy = simulation.fleet.strategies[instance];
    FakeTarget target = simulation.targets[request.server];
    simulation.events.after(
        delayNanos(instance, target), () -> arriveAtTarget(strategy, instance, target, request));
  }

  private void arriveAtTarget(
      RoutingStrategy strategy, int instance, FakeTarget target, Request request) {
    if (target.dead) {
      returnOutcome(
          strategy, instance, target, request, RoutingStrategy.AttemptOutcome.FAILED, true);
      return;
    }
    if (target.running >= target.slots) {
      if (simulation.isMeasured(request)) {
        simulation.results.sheds++;
      }
      returnOutcome(strategy, instance, target, request, RoutingStrategy.AttemptOutcome.SHED, true);
      return;
    }
    target.running++;
    int generation = target.generation;
    long serviceNanos =
        target.failing
            ? ERROR_SERVICE_NANOS
            : target.serviceNanos(request.route, simulation.random);
    simulation.events.after(
        serviceNanos, () -> finishService(strategy, instance, target, request, generation));
  }

  private void finishService(
      RoutingStrategy strategy, int instance, FakeTarget target, Request request, int generation) {
    if (target.generation != generation) {
      returnOutcome(
          strategy, instance, target, request, RoutingStrategy.AttemptOutcome.FAILED, false);
      return;
    }
    if (target.failing) {
      target.running--;
      returnOutcome(
          strategy, instance, target, request, RoutingStrategy.AttemptOutcome.FAILED, false);
      return;
    }
    transferAnswer(strategy, instance, target, request, generation, request.answerBytes());
  }

  /**
   * Transfers the answer's bytes to the instance. If the policy has a budget for the link,
   * transfers what it grants and continues when it grants more; the request holds its slot until
   * the end.
   */
  private void transferAnswer(
      RoutingStrategy strategy,
      int instance,
      FakeTarget target,
      Request request,
      int generation,
      long bytesLeft) {
    if (target.generation != generation) {
      returnOutcome(
          strategy, instance, target, request, RoutingStrategy.AttemptOutcome.FAILED, false);
      return;
    }
    LinkBudget linkBudget = strategy.answerLinkBudget(request);
    PriorityClass priorityClass = request.priorityClass();
    long moved = linkBudget == null ? bytesLeft : linkBudget.acquireUpTo(bytesLeft, priorityClass);
    int to = simulation.fleet.regionOf(instance);
    simulation.network.recordTransfer(target.region, to, simulation.events.nowNanos(), moved);
    if (moved < bytesLeft) {
      long remaining = bytesLeft - moved;
      simulation.events.after(
          Math.max(1, linkBudget.nanosUntilGrant(priorityClass)),
          () -> transferAnswer(strategy, instance, target, request, generation, remaining));
      return;
    }
    target.running--;
    returnOutcome(
        strategy, instance, target, request, RoutingStrategy.AttemptOutcome.ANSWERED, false);
  }

  private void returnOutcome(
      RoutingStrategy strategy,
      int instance,
      FakeTarget target,
      Request request,
      RoutingStrategy.AttemptOutcome outcome,
      boolean notRun) {
    simulation.events.after(
        delayNanos(instance, target),
        () -> handleOutcome(strategy, instance, request, outcome, notRun));
  }

  private void handleOutcome(
      RoutingStrategy strategy,
      int instance,
      Request request,
      RoutingStrategy.AttemptOutcome outcome,
      boolean notRun) {
    strategy.onAttemptEnded(request, outcome, simulation.events.nowNanos() - request.sentNanos);
    boolean isCurrent =
        simulation.fleet.alive[instance] && simulation.fleet.strategies[instance] == strategy;
    if (!isCurrent) {
      recordFailed(request);
      return;
    }
    if (outcome == RoutingStrategy.AttemptOutcome.ANSWERED) {
      deliverAnswer(instance, request);
    } else {
      retryOrRecord(instance, request, outcome, notRun);
    }
    sendReadyAndRefuseExpired(instance);
  }

  private void retryOrRecord(
      int instance, Request request, RoutingStrategy.AttemptOutcome outcome, boolean notRun) {
    if (outcome == RoutingStrategy.AttemptOutcome.FAILED) {
      request.failures++;
    }
    boolean mayRepeat = notRun || request.isIdempotent();
    boolean isQueued = request.chosen != null && outcome == RoutingStrategy.AttemptOutcome.SHED;
    boolean hasAttemptsLeft = isQueued || request.attempts < MAX_ATTEMPTS;
    if (mayRepeat && hasAttemptsLeft && request.failures <= MAX_FAILURES) {
      if (outcome == RoutingStrategy.AttemptOutcome.FAILED || request.chosen == null) {
        request.exclude(request.server);
      }
      receive(instance, request);
      return;
    }
    if (notRun) {
      recordRefused(request);
    } else {
      recordFailed(request);
    }
  }

  private void recordFailed(Request request) {
    if (simulation.isMeasured(request)) {
      simulation.results.failed[request.customer]++;
    }
  }

  private void deliverAnswer(int instance, Request request) {
    int from = simulation.fleet.regionOf(instance);
    simulation.network.recordTransfer(
        from, request.clientRegion, simulation.events.nowNanos(), request.answerBytes());
    simulation.events.after(
        simulation.network.callerDelayNanos(request.clientRegion, from),
        () -> {
          if (simulation.isMeasured(request)) {
            simulation.results.recordAnswered(request, simulation.events.nowNanos());
          }
        });
  }

  private long delayNanos(int instance, FakeTarget target) {
    return simulation.network.delayNanos(simulation.fleet.regionOf(instance), target.region);
  }
}
