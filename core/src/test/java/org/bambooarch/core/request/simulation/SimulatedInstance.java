package org.bambooarch.core.request.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.bambooarch.core.key.KeyCheck;
import org.bambooarch.core.key.KeyCheckResult;
import org.bambooarch.core.request.AttemptOutcome;
import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.request.Refusal;
import org.bambooarch.core.request.RequestProperties;
import org.bambooarch.core.request.RequestStateMachine;
import org.bambooarch.core.request.RequestStep;
import org.bambooarch.core.request.RetryBudget;
import org.bambooarch.core.request.crash.CrashEvidence;
import org.bambooarch.core.request.crash.CrashFingerprint;
import org.bambooarch.core.request.crash.CrashMessage;
import org.bambooarch.core.request.crash.CrashTable;
import org.bambooarch.core.request.crash.SuspectServerChoice;
import org.bambooarch.core.request.header.HeaderField;
import org.bambooarch.core.request.header.HeaderRules;
import org.bambooarch.core.request.header.ResponseCheck;
import org.bambooarch.core.request.idempotency.DispatchPermit;
import org.bambooarch.core.request.idempotency.IdempotencyDeadlines;
import org.bambooarch.core.request.idempotency.IdempotencyRecordKey;
import org.bambooarch.core.request.idempotency.IdempotencyRecordOwner;
import org.bambooarch.core.request.idempotency.IdempotencyRecordState;
import org.bambooarch.core.request.idempotency.IdempotencyStateMachine;
import org.bambooarch.core.request.idempotency.IdempotencyStep;
import org.bambooarch.core.request.idempotency.RecordedResponse;
import org.bambooarch.core.request.idempotency.RequestDigest;
import org.bambooarch.core.request.idempotency.StoreReply;

/**
 * An entry instance that acts on the decisions of the classes under test and can be restarted or
 * paused between any two steps.
 */
final class SimulatedInstance {

  final String name;
  final KeyCheck keyCheck;
  final CrashTable crashes = new CrashTable();
  boolean isPartitioned;
  private long restartedAtNanos;
  private long lastCutOffNanos = -10_000 * SimulationContext.NANOS_PER_MILLI;
  private final SimulationContext context;
  private final SimulatedStore store;
  private final Map<String, SimulatedTarget> targets;
  private final RetryBudget budget = new RetryBudget();
  private final Consumer<CrashMessage> broadcast;
  private final Map<String, Long> refusedUntilNanos = new HashMap<>();
  private long incarnation = 1;
  private long nextAttemptNumber = 1;
  private long nextCrashNumber = 1;
  private long pausedUntilNanos;

  SimulatedInstance(
      String name,
      SimulationContext context,
      SimulatedStore store,
      Map<String, SimulatedTarget> targets,
      Consumer<CrashMessage> broadcast) {
    this.name = name;
    this.context = context;
    this.store = store;
    this.targets = targets;
    this.broadcast = broadcast;
    this.keyCheck = KeyCheck.acceptingNothing(context.clock);
  }

  void restart() {
    incarnation++;
    restartedAtNanos = nowNanos();
  }

  void pause(long nanos) {
    pausedUntilNanos = context.clock.monotonicNanos() + nanos;
  }

  /**
   * Runs an action after a delay and after any pause, unless the instance has been restarted since.
   */
  void schedule(long delayNanos, Runnable action) {
    long startIncarnation = incarnation;
    context.schedule(delayNanos, () -> runWhenActive(startIncarnation, action));
  }

  private void runWhenActive(long startIncarnation, Runnable action) {
    if (incarnation != startIncarnation) {
      return;
    }
    long pausedNanos = pausedUntilNanos - context.clock.monotonicNanos();
    if (pausedNanos > 0) {
      context.schedule(pausedNanos, () -> runWhenActive(startIncarnation, action));
      return;
    }
    action.run();
  }

  void receive(CallerAttempt attempt, Consumer<CallerReply> reply) {
    schedule(0, () -> new RequestHandler(attempt, reply).handle());
  }

  /** Handles one request that this instance received. */
  private final class RequestHandler {
    final CallerAttempt attempt;
    final Consumer<CallerReply> reply;
    final CrashFingerprint fingerprint;
    final RequestStateMachine requestMachine;
    final String requestId = name + "-" + incarnation + "-" + nextAttemptNumber++;
    Optional<IdempotencyStateMachine> idempotencyMachine = Optional.empty();
    Optional<DispatchPermit> permit = Optional.empty();
    String responseBody = "";

    RequestHandler(CallerAttempt attempt, Consumer<CallerReply> reply) {
      this.attempt = attempt;
      this.reply = reply;
      this.fingerprint =
          CrashFingerprint.of("desk", "POST", "/" + attempt.request().name(), new byte[0]);
      boolean treatAsIdempotent =
          !attempt.request().isNonIdempotent() || isDisabled(Safeguard.NO_RETRY_OF_NON_IDEMPOTENT);
      RequestProperties properties =
          new RequestProperties(
              treatAsIdempotent, Optional.of(fingerprint), attempt.deadlineNanos());
      this.requestMachine = RequestStateMachine.of(properties, crashes, budget, context.clock);
    }

    void handle() {
      KeyCheckResult keyCheckResult = keyCheck.check(attempt.key());
      if (keyCheckResult instanceof KeyCheckResult.Stale
          && !isDisabled(Safeguard.KEY_STALENESS_BOUND)) {
        refuse(NotRun.of(NotRun.Reason.KEYS_STALE, "stale").withRetryAfterMillis(1_000));
        return;
      }
      if (keyCheckResult instanceof KeyCheckResult.Rejected) {
        refuse(NotRun.of(NotRun.Reason.KEY_REJECTED, "rejected"));
        return;
      }
      context.keys.checkStalenessBound(attempt.key());
      if (!attempt.request().isNonIdempotent() || isDisabled(Safeguard.IDEMPOTENCY_RECORD)) {
        perform(requestMachine.start());
        return;
      }
      IdempotencyStateMachine machine =
          IdempotencyStateMachine.of(
              new IdempotencyRecordKey("customer", attempt.request().name()),
              RequestDigest.of("POST", "/" + attempt.request().name(), new byte[0]),
              new IdempotencyRecordOwner(name, incarnation, nextAttemptNumber++),
              IdempotencyDeadlines.until(attempt.deadlineNanos(), context.clock),
              context.clock);
      idempotencyMachine = Optional.of(machine);
      acquireRecord(machine, machine.start());
    }

    void acquireRecord(IdempotencyStateMachine machine, IdempotencyStep step) {
      switch (step) {
        case IdempotencyStep.Call call ->
            store.execute(
                call,
                r ->
                    schedule(
                        0,
                        () ->
                            acquireRecord(
                                machine, machine.onReply(withoutReadAfterIndeterminateWrite(r)))));
        case IdempotencyStep.Proceed proceed -> {
          permit = Optional.of(proceed.permit());
          perform(requestMachine.start());
        }
        case IdempotencyStep.Replay(RecordedResponse response) -> {
          String body = ((RecordedResponse.Body.Inline) response.body()).base64();
          context.onResponse(attempt, body);
          reply.accept(new CallerReply.Response(body));
        }
        case IdempotencyStep.Refuse(Refusal refusal) -> refuse(refusal);
        case IdempotencyStep.Completed() -> {}
      }
    }

    StoreReply withoutReadAfterIndeterminateWrite(StoreReply reply) {
      boolean assumeCommitted =
          reply instanceof StoreReply.Indeterminate
              && isDisabled(Safeguard.READ_AFTER_INDETERMINATE_WRITE);
      return assumeCommitted ? new StoreReply.Committed(0) : reply;
    }

    void finalizeRecord(IdempotencyStateMachine machine, IdempotencyStep step) {
      if (step instanceof IdempotencyStep.Call call) {
        store.execute(call, r -> schedule(0, () -> finalizeRecord(machine, machine.onReply(r))));
      }
    }

    void perform(RequestStep step) {
      switch (step) {
        case RequestStep.Send chosen -> choose(chosen);
        case RequestStep.Wait(long until) ->
            schedule(until - nowNanos(), () -> perform(requestMachine.reevaluate()));
        case RequestStep.Finished() -> finish();
        case RequestStep.Refuse(Refusal refusal) -> refuse(refusal);
      }
    }

    void choose(RequestStep.Send step) {
      Set<String> serverNames = new TreeSet<>(targets.keySet());
      Optional<String> chosen =
          step.suspect()
              .map(s -> SuspectServerChoice.choose(fingerprint, s.crashedServer(), serverNames))
              .orElseGet(() -> randomServer(serverNames, step.excludedServers()));
      if (chosen.isEmpty()) {
        perform(requestMachine.onNoServerAvailable());
        return;
      }
      long slotWaitNanos =
          context.chance(0.01)
              ? context.randomDelayNanos(0, 2_500)
              : context.randomDelayNanos(0, 3);
      schedule(slotWaitNanos, () -> dispatch(targets.get(chosen.get())));
    }

    Optional<String> randomServer(Set<String> serverNames, Set<String> excluded) {
      List<String> left = new ArrayList<>(serverNames);
      left.removeAll(excluded);
      left.removeIf(server -> refusedUntilNanos.getOrDefault(server, 0L) > nowNanos());
      return left.isEmpty()
          ? Optional.empty()
          : Optional.of(left.get(context.random.nextInt(left.size())));
    }

    void dispatch(SimulatedTarget target) {
      if (requestMachine.isOutdated()) {
        perform(requestMachine.reevaluate());
        return;
      }
      requestMachine.onSend(target.name);
      if (permit.isPresent() && !isDisabled(Safeguard.DISPATCH_DEADLINE)) {
        if (!permit.get().tryUse(context.clock)) {
          refuse(NotRun.of(NotRun.Reason.DEADLINE, "the dispatch deadline has passed"));
          return;
        }
      }
      context.check(
          permit.isEmpty() || !permit.get().isExpired(context.clock),
          "a request was dispatched after its dispatch deadline");
      List<HeaderField> received =
          List.of(
              new HeaderField("X-API-KEY", attempt.key()),
              new HeaderField("x-note", "key=" + attempt.key()));
      List<HeaderField> headers =
          new ArrayList<>(
              isDisabled(Safeguard.HEADER_RULES)
                  ? received
                  : HeaderRules.requestHeadersForTarget(received));
      headers.add(new HeaderField(HeaderRules.REQUEST_ID, requestId));
      long startIncarnation = incarnation;
      schedule(
          context.randomDelayNanos(1, 55),
          () ->
              target.receive(
                  attempt,
                  headers,
                  () -> canReportCrash(startIncarnation),
                  r -> schedule(0, () -> onReply(target, r))));
    }

    void onReply(SimulatedTarget target, SimulatedTarget.Reply targetReply) {
      AttemptOutcome outcome = outcomeOf(targetReply);
      if (outcome instanceof AttemptOutcome.ConnectionLost(boolean targetCrashed, long bytes)
          && targetCrashed) {
        reportCrash(target);
      }
      if (isDisabled(Safeguard.NO_RETRY_OF_NON_IDEMPOTENT)) {
        permit.ifPresent(DispatchPermit::restore);
      }
      if (outcome instanceof AttemptOutcome.NotSent()) {
        refusedUntilNanos.put(target.name, nowNanos() + 1_000 * SimulationContext.NANOS_PER_MILLI);
        permit.ifPresent(DispatchPermit::restore);
      }
      boolean assumeNotSent =
          isDisabled(Safeguard.UNKNOWN_AFTER_CONNECTION_LOSS)
              && outcome instanceof AttemptOutcome.ConnectionLost;
      perform(requestMachine.onOutcome(assumeNotSent ? new AttemptOutcome.NotSent() : outcome));
    }

    AttemptOutcome outcomeOf(SimulatedTarget.Reply targetReply) {
      return switch (targetReply) {
        case SimulatedTarget.Reply.ConnectionRefused() -> new AttemptOutcome.NotSent();
        case SimulatedTarget.Reply.Shed() -> new AttemptOutcome.Shed(true, OptionalLong.empty());
        case SimulatedTarget.Reply.ConnectionLost(boolean targetCrashed) ->
            new AttemptOutcome.ConnectionLost(targetCrashed, 0);
        case SimulatedTarget.Reply.Response response -> check(response);
      };
    }

    AttemptOutcome check(SimulatedTarget.Reply.Response response) {
      ResponseCheck check = ResponseCheck.forRequest(requestId);
      check.onHeaders(response.echoedId(), response.contentLength());
      check.onData(response.body().length());
      responseBody = response.body();
      if (context.clock.monotonicNanos() - attempt.deadlineNanos() >= 0) {
        return new AttemptOutcome.TimedOut(0);
      }
      boolean isValid = check.onEnd() == ResponseCheck.Result.VALID;
      return isValid || isDisabled(Safeguard.RESPONSE_CHECK)
          ? new AttemptOutcome.ResponseReceived()
          : new AttemptOutcome.InvalidResponse(0);
    }

    void reportCrash(SimulatedTarget target) {
      if (isDisabled(Safeguard.CRASH_EVIDENCE)) {
        return;
      }
      long expiresAtWallMillis = context.clock.wallMillis() + CrashEvidence.RETENTION_MILLIS;
      CrashEvidence crash =
          new CrashEvidence(
              fingerprint, target.name, name, incarnation, nextCrashNumber++, expiresAtWallMillis);
      crashes.add(crash, context.clock.wallMillis());
      broadcast.accept(new CrashMessage.CrashReport(crash));
    }

    void finish() {
      crashes.clear(fingerprint).ifPresent(broadcast);
      RecordedResponse response =
          new RecordedResponse(200, List.of(), new RecordedResponse.Body.Inline(responseBody));
      idempotencyMachine.ifPresent(
          machine ->
              finalizeRecord(machine, machine.finish(new IdempotencyRecordState.Done(response))));
      context.onResponse(attempt, responseBody);
      reply.accept(new CallerReply.Response(responseBody));
    }

    void refuse(Refusal refusal) {
      if (refusal instanceof NotRun notRun) {
        context.onNotRun(attempt, notRun.code(), permit.isPresent());
        idempotencyMachine.ifPresent(machine -> finalizeRecord(machine, machine.release()));
      } else if (permit.isPresent()) {
        idempotencyMachine.ifPresent(
            machine ->
                finalizeRecord(machine, machine.finish(new IdempotencyRecordState.Unknown())));
      }
      reply.accept(new CallerReply.Refused(refusal));
    }
  }

  /**
   * Records the time if crash reports can reach this instance neither from its peers nor from the
   * stored table.
   */
  void noteIfCutOffFromCrashReports() {
    boolean reachesPeers =
        !isPartitioned
            && nowNanos() - restartedAtNanos > 10_000 * SimulationContext.NANOS_PER_MILLI;
    if (store.wasRecentlyDown() && !reachesPeers) {
      lastCutOffNanos = nowNanos();
    }
  }

  /**
   * Returns whether this incarnation can exchange crash reports: it still runs, was not paused in
   * the last second, and was cut off from crash reports at no time in the last second.
   */
  private boolean canReportCrash(long startIncarnation) {
    noteIfCutOffFromCrashReports();
    if (nowNanos() - lastCutOffNanos < 1_000 * SimulationContext.NANOS_PER_MILLI) {
      return false;
    }
    return incarnation == startIncarnation
        && nowNanos() - pausedUntilNanos > 1_000 * SimulationContext.NANOS_PER_MILLI;
  }

  private long nowNanos() {
    return context.clock.monotonicNanos();
  }

  private boolean isDisabled(Safeguard safeguard) {
    return context.disabled.contains(safeguard);
  }
}
