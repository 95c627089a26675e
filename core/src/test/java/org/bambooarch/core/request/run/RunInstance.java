package org.bambooarch.core.request.run;

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
import org.bambooarch.core.request.header.ResponseCheck;
import org.bambooarch.core.request.header.HeaderField;
import org.bambooarch.core.request.header.HeaderRules;
import org.bambooarch.core.request.idempotency.DispatchPermit;
import org.bambooarch.core.request.idempotency.IdempotencyStateMachine;
import org.bambooarch.core.request.idempotency.IdempotencyRecordKey;
import org.bambooarch.core.request.idempotency.IdempotencyRecordOwner;
import org.bambooarch.core.request.idempotency.IdempotencyRecordState;
import org.bambooarch.core.request.idempotency.IdempotencyStep;
import org.bambooarch.core.request.idempotency.IdempotencyDeadlines;
import org.bambooarch.core.request.idempotency.RecordedResponse;
import org.bambooarch.core.request.idempotency.RequestDigest;
import org.bambooarch.core.request.idempotency.StoreReply;

/** An entry instance that uses the library's decisions and can die or be paused at each step. */
final class RunInstance {

  final String name;
  final KeyCheck keyCheck;
  final CrashTable crashes = new CrashTable();
  boolean cutOff;
  private long restartedNanos;
  private long lastBlindNanos = -10_000 * RunWorld.MILLI;
  private final RunWorld world;
  private final RunStore store;
  private final Map<String, RunTarget> targets;
  private final RetryBudget budget = new RetryBudget();
  private final Consumer<CrashMessage> broadcast;
  private final Map<String, Long> refusedUntilNanos = new HashMap<>();
  private long incarnation = 1;
  private long nextAttempt = 1;
  private long nextDeath = 1;
  private long pausedUntilNanos;

  RunInstance(
      String name,
      RunWorld world,
      RunStore store,
      Map<String, RunTarget> targets,
      Consumer<CrashMessage> broadcast) {
    this.name = name;
    this.world = world;
    this.store = store;
    this.targets = targets;
    this.broadcast = broadcast;
    this.keyCheck = KeyCheck.acceptingNothing(world.clock);
  }

  void die() {
    incarnation++;
    restartedNanos = nowNanos();
  }

  void pause(long nanos) {
    pausedUntilNanos = world.clock.monotonicNanos() + nanos;
  }

  /** Runs an action inside this incarnation, after any pause; a dead incarnation never runs it. */
  void inside(long delayNanos, Runnable action) {
    long born = incarnation;
    world.after(delayNanos, () -> resume(born, action));
  }

  private void resume(long born, Runnable action) {
    if (incarnation != born) {
      return;
    }
    long pausedNanos = pausedUntilNanos - world.clock.monotonicNanos();
    if (pausedNanos > 0) {
      world.after(pausedNanos, () -> resume(born, action));
      return;
    }
    action.run();
  }

  void receive(RunSend send, Consumer<RunReply> reply) {
    inside(0, () -> new Carried(send, reply).begin());
  }

  /** One request inside this instance. */
  private final class Carried {
    final RunSend send;
    final Consumer<RunReply> reply;
    final CrashFingerprint fingerprint;
    final RequestStateMachine life;
    final String requestId = name + "-" + incarnation + "-" + nextAttempt++;
    Optional<IdempotencyStateMachine> order = Optional.empty();
    Optional<DispatchPermit> permit = Optional.empty();
    String answerBody = "";

    Carried(RunSend send, Consumer<RunReply> reply) {
      this.send = send;
      this.reply = reply;
      this.fingerprint =
          CrashFingerprint.of("desk", "POST", "/" + send.request().name(), new byte[0]);
      boolean retried = !send.request().isOrder() || isOff(Protection.NO_RETRY_OF_ORDERS);
      RequestProperties facts =
          new RequestProperties(retried, Optional.of(fingerprint), send.deadlineNanos());
      this.life = RequestStateMachine.of(facts, crashes, budget, world.clock);
    }

    void begin() {
      KeyCheckResult verdict = keyCheck.check(send.key());
      if (verdict instanceof KeyCheckResult.Stale && !isOff(Protection.KEY_FRESHNESS)) {
        refuse(NotRun.of(NotRun.Reason.KEYS_STALE, "stale").withRetryAfterMillis(1_000));
        return;
      }
      if (verdict instanceof KeyCheckResult.Rejected) {
        refuse(NotRun.of(NotRun.Reason.KEY_REJECTED, "rejected"));
        return;
      }
      world.keys.checkBound(send.key());
      if (!send.request().isOrder() || isOff(Protection.ORDER_RECORD)) {
        go(life.start());
        return;
      }
      IdempotencyStateMachine attempt =
          IdempotencyStateMachine.of(
              new IdempotencyRecordKey("customer", send.request().name()),
              RequestDigest.of("POST", "/" + send.request().name(), new byte[0]),
              new IdempotencyRecordOwner(name, incarnation, nextAttempt++),
              IdempotencyDeadlines.until(send.deadlineNanos(), world.clock),
              world.clock);
      order = Optional.of(attempt);
      opening(attempt, attempt.start());
    }

    void opening(IdempotencyStateMachine attempt, IdempotencyStep step) {
      switch (step) {
        case IdempotencyStep.Call call ->
            store.carryOut(call, r -> inside(0, () -> opening(attempt, attempt.onReply(faulty(r)))));
        case IdempotencyStep.Proceed proceed -> {
          permit = Optional.of(proceed.permit());
          go(life.start());
        }
        case IdempotencyStep.Replay(RecordedResponse answer) -> {
          String body = ((RecordedResponse.Body.Inline) answer.body()).base64();
          world.onAnswer(send, body);
          reply.accept(new RunReply.Answer(body));
        }
        case IdempotencyStep.Refuse(Refusal refusal) -> refuse(refusal);
        case IdempotencyStep.Completed() -> {}
      }
    }

    StoreReply faulty(StoreReply reply) {
      boolean believeBlindly = reply instanceof StoreReply.Indeterminate && isOff(Protection.READ_BACK);
      return believeBlindly ? new StoreReply.Committed(0) : reply;
    }

    void closing(IdempotencyStateMachine attempt, IdempotencyStep step) {
      if (step instanceof IdempotencyStep.Call call) {
        store.carryOut(call, r -> inside(0, () -> closing(attempt, attempt.onReply(r))));
      }
    }

    void go(RequestStep step) {
      switch (step) {
        case RequestStep.Send chosen -> choose(chosen);
        case RequestStep.Wait(long until) -> inside(until - nowNanos(), () -> go(life.reevaluate()));
        case RequestStep.Finished() -> finish();
        case RequestStep.Refuse(Refusal refusal) -> refuse(refusal);
      }
    }

    void choose(RequestStep.Send step) {
      Set<String> names = new TreeSet<>(targets.keySet());
      Optional<String> chosen =
          step.suspect()
              .map(s -> SuspectServerChoice.choose(fingerprint, s.crashedServer(), names))
              .orElseGet(() -> any(names, step.excludedServers()));
      if (chosen.isEmpty()) {
        go(life.onNoServerAvailable());
        return;
      }
      long waitForSlotNanos = world.chance(0.01) ? world.millis(0, 2_500) : world.millis(0, 3);
      inside(waitForSlotNanos, () -> dispatch(targets.get(chosen.get())));
    }

    Optional<String> any(Set<String> names, Set<String> excluded) {
      List<String> left = new ArrayList<>(names);
      left.removeAll(excluded);
      left.removeIf(server -> refusedUntilNanos.getOrDefault(server, 0L) > nowNanos());
      return left.isEmpty()
          ? Optional.empty()
          : Optional.of(left.get(world.random.nextInt(left.size())));
    }

    void dispatch(RunTarget target) {
      if (life.isOutdated()) {
        go(life.reevaluate());
        return;
      }
      life.onSend(target.name);
      if (permit.isPresent() && !isOff(Protection.DISPATCH_DEADLINE)) {
        if (!permit.get().tryUse(world.clock)) {
          refuse(NotRun.of(NotRun.Reason.DEADLINE, "the dispatch deadline passed"));
          return;
        }
      }
      world.check(
          permit.isEmpty() || !permit.get().isExpired(world.clock), "dispatch after its deadline");
      List<HeaderField> received =
          List.of(
              new HeaderField("X-API-KEY", send.key()),
              new HeaderField("x-note", "key=" + send.key()));
      List<HeaderField> headers =
          new ArrayList<>(
              isOff(Protection.HEADER_RULES) ? received : HeaderRules.requestHeadersForTarget(received));
      headers.add(new HeaderField(HeaderRules.REQUEST_ID, requestId));
      long born = incarnation;
      inside(
          world.millis(1, 55),
          () ->
              target.receive(
                  send, headers, () -> isWell(born), r -> inside(0, () -> onReply(target, r))));
    }

    void onReply(RunTarget target, RunTarget.Reply targetReply) {
      AttemptOutcome outcome = outcomeOf(targetReply);
      if (outcome instanceof AttemptOutcome.ConnectionLost(boolean died, long bytes) && died) {
        reportDeath(target);
      }
      if (isOff(Protection.NO_RETRY_OF_ORDERS)) {
        permit.ifPresent(DispatchPermit::restore);
      }
      if (outcome instanceof AttemptOutcome.NotSent()) {
        refusedUntilNanos.put(target.name, nowNanos() + 1_000 * RunWorld.MILLI);
        permit.ifPresent(DispatchPermit::restore);
      }
      boolean misreport = isOff(Protection.OUTCOME_TYPES) && outcome instanceof AttemptOutcome.ConnectionLost;
      go(life.onOutcome(misreport ? new AttemptOutcome.NotSent() : outcome));
    }

    AttemptOutcome outcomeOf(RunTarget.Reply targetReply) {
      return switch (targetReply) {
        case RunTarget.Reply.Refused() -> new AttemptOutcome.NotSent();
        case RunTarget.Reply.Shed() -> new AttemptOutcome.Shed(true, OptionalLong.empty());
        case RunTarget.Reply.ConnectionLost(boolean died) -> new AttemptOutcome.ConnectionLost(died, 0);
        case RunTarget.Reply.Answer answer -> check(answer);
      };
    }

    AttemptOutcome check(RunTarget.Reply.Answer answer) {
      ResponseCheck check = ResponseCheck.forRequest(requestId);
      check.onHeaders(answer.echoedId(), answer.contentLength());
      check.onData(answer.body().length());
      answerBody = answer.body();
      if (world.clock.monotonicNanos() - send.deadlineNanos() >= 0) {
        return new AttemptOutcome.TimedOut(0);
      }
      boolean good = check.onEnd() == ResponseCheck.Result.VALID;
      return good || isOff(Protection.ANSWER_CHECK)
          ? new AttemptOutcome.ResponseReceived()
          : new AttemptOutcome.InvalidResponse(0);
    }

    void reportDeath(RunTarget target) {
      if (isOff(Protection.CRASH_EVIDENCE)) {
        return;
      }
      long expiry = world.clock.wallMillis() + CrashEvidence.RETENTION_MILLIS;
      CrashEvidence death =
          new CrashEvidence(fingerprint, target.name, name, incarnation, nextDeath++, expiry);
      crashes.add(death, world.clock.wallMillis());
      broadcast.accept(new CrashMessage.CrashReport(death));
    }

    void finish() {
      crashes.clear(fingerprint).ifPresent(broadcast);
      RecordedResponse answer =
          new RecordedResponse(200, List.of(), new RecordedResponse.Body.Inline(answerBody));
      order.ifPresent(attempt -> closing(attempt, attempt.finish(new IdempotencyRecordState.Done(answer))));
      world.onAnswer(send, answerBody);
      reply.accept(new RunReply.Answer(answerBody));
    }

    void refuse(Refusal refusal) {
      if (refusal instanceof NotRun notRun) {
        world.onNotRun(send, notRun.code(), permit.isPresent());
        order.ifPresent(attempt -> closing(attempt, attempt.release()));
      } else if (permit.isPresent()) {
        order.ifPresent(attempt -> closing(attempt, attempt.finish(new IdempotencyRecordState.Unknown())));
      }
      reply.accept(new RunReply.Refused(refusal));
    }
  }

  /** Notes that neither peers nor the table can tell this instance of a death. */
  void noteBlindness() {
    boolean reachesPeers = !cutOff && nowNanos() - restartedNanos > 10_000 * RunWorld.MILLI;
    if (store.wasDownOfLate() && !reachesPeers) {
      lastBlindNanos = nowNanos();
    }
  }

  /** Whether this incarnation lives, was not paused of late, and can tell anyone of a death. */
  private boolean isWell(long born) {
    noteBlindness();
    if (nowNanos() - lastBlindNanos < 1_000 * RunWorld.MILLI) {
      return false;
    }
    return incarnation == born && nowNanos() - pausedUntilNanos > 1_000 * RunWorld.MILLI;
  }

  private long nowNanos() {
    return world.clock.monotonicNanos();
  }

  private boolean isOff(Protection protection) {
    return world.off.contains(protection);
  }
}
