package org.bambooarch.entry.request;

import com.linecorp.armeria.common.ResponseHeaders;
import java.util.Optional;
import java.util.Set;
import org.bambooarch.core.key.KeyCheckResult;
import org.bambooarch.core.request.AttemptOutcome;
import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.request.Refusal;
import org.bambooarch.core.request.RequestProperties;
import org.bambooarch.core.request.RequestStateMachine;
import org.bambooarch.core.request.RequestStep;
import org.bambooarch.core.request.crash.CrashFingerprint;
import org.bambooarch.core.request.crash.CrashStatus;
import org.bambooarch.core.request.crash.SuspectServerChoice;
import org.bambooarch.core.request.idempotency.DispatchPermit;
import org.bambooarch.core.request.idempotency.IdempotencyRefusals;
import org.bambooarch.entry.request.target.TargetExchange;
import org.bambooarch.entry.request.target.TargetSelection.Taken;

/** Sends one request to one or more servers, as its {@link RequestStateMachine} decides; blocks. */
final class TargetRun {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final RequestServices services;
  private final CallerRequest request;
  private final Optional<DispatchPermit> permit;
  private final CrashFingerprint fingerprint;
  private final RequestStateMachine life;

  TargetRun(RequestServices services, CallerRequest request, Optional<DispatchPermit> permit) {
    this.services = services;
    this.request = request;
    this.permit = permit;
    this.fingerprint = request.fingerprint();
    RequestProperties facts =
        new RequestProperties(
            request.isIdempotent(), Optional.of(fingerprint), request.deadlineNanos());
    this.life =
        RequestStateMachine.of(
            facts, services.crashes().table(), services.retryBudget(), services.clock());
  }

  Ending run() throws InterruptedException {
    RequestStep step = life.start();
    while (true) {
      switch (step) {
        case RequestStep.Wait(long untilNanos) -> {
          sleepUntil(untilNanos);
          step = life.reevaluate();
        }
        case RequestStep.Refuse(Refusal refusal) -> {
          return new Ending.Refused(refusal);
        }
        case RequestStep.Finished() ->
            throw new IllegalStateException("an answered request ends inside its attempt");
        case RequestStep.Send send -> {
          Attempted attempted = attempt(send);
          if (attempted instanceof Attempted.Ended(Ending ending)) {
            return ending;
          }
          step = ((Attempted.Next) attempted).step();
        }
      }
    }
  }

  private sealed interface Attempted {
    record Ended(Ending ending) implements Attempted {}

    record Next(RequestStep step) implements Attempted {}
  }

  private Attempted attempt(RequestStep.Send send) throws InterruptedException {
    Optional<Taken> chosen = choose(send);
    if (chosen.isEmpty()) {
      return new Attempted.Next(life.onNoServerAvailable());
    }
    Taken taken = chosen.get();
    if (life.isOutdated()) {
      taken.cancel();
      return new Attempted.Next(life.reevaluate());
    }
    Optional<NotRun> refusal = lastChecks();
    if (refusal.isPresent()) {
      taken.cancel();
      return new Attempted.Ended(refuseBeforeDispatch(refusal.get()));
    }
    life.onSend(taken.server().name());
    return dispatch(taken);
  }

  private Optional<Taken> choose(RequestStep.Send send) {
    if (send.suspect().isEmpty()) {
      return services.selection().choose(request.match(), send.excludedServers());
    }
    CrashStatus.Suspect suspect = send.suspect().get();
    Set<String> servers = services.selection().servers(request.match());
    return SuspectServerChoice.choose(fingerprint, suspect.crashedServer(), servers)
        .filter(server -> !send.excludedServers().contains(server))
        .flatMap(server -> services.selection().take(request.match(), server));
  }

  /** Checks again what may have changed while the request waited for its record or a slot. */
  private Optional<NotRun> lastChecks() {
    if (request.keyDigest().isPresent()) {
      KeyCheckResult verdict = services.keyCheck().checkDigest(request.keyDigest().get());
      if (!(verdict instanceof KeyCheckResult.Accepted)) {
        return Optional.of(KeyRefusals.of(verdict));
      }
    }
    if (permit.isPresent() && !permit.get().tryUse(services.clock())) {
      return Optional.of(IdempotencyRefusals.dispatchDeadlinePassed());
    }
    return Optional.empty();
  }

  private Ending refuseBeforeDispatch(NotRun refusal) {
    return life.mayHaveRun()
        ? new Ending.Refused(life.outcomeUnknown())
        : new Ending.Refused(refusal);
  }

  private Attempted dispatch(Taken taken) throws InterruptedException {
    long startedNanos = services.clock().monotonicNanos();
    TargetExchange.Result result =
        request.isIdempotent()
            ? services.exchange().begin(request, taken.server(), attemptDeadlineNanos())
            : services.exchange().whole(request, taken.server(), request.deadlineNanos());
    long latencyNanos = services.clock().monotonicNanos() - startedNanos;
    return switch (result) {
      case TargetExchange.Result.Failed(AttemptOutcome outcome) -> {
        end(taken, outcome, latencyNanos);
        yield new Attempted.Next(life.onOutcome(outcome));
      }
      case TargetExchange.Result.Whole(var answer) -> {
        end(taken, new AttemptOutcome.ResponseReceived(), latencyNanos);
        yield new Attempted.Ended(new Ending.Whole(answer));
      }
      case TargetExchange.Result.Begun begun -> new Attempted.Ended(stream(taken, begun));
    };
  }

  private Ending stream(Taken taken, TargetExchange.Result.Begun begun) {
    long begunNanos = services.clock().monotonicNanos();
    ResponseHeaders towardsCaller = AnswerHeaders.towardsCaller(begun.headers(), request);
    AnswerRelay relay =
        AnswerRelay.start(
            request, begun.headers(), towardsCaller, begun.split(), this::isKeyStillValid);
    relay
        .ended()
        .thenAccept(
            whole -> {
              if (whole) {
                end(
                    taken,
                    new AttemptOutcome.ResponseReceived(),
                    services.clock().monotonicNanos() - begunNanos);
              } else {
                taken.cancel();
              }
            });
    return new Ending.Streaming(relay.response());
  }

  private boolean isKeyStillValid() {
    return request
        .keyDigest()
        .map(digest -> services.keyCheck().checkDigest(digest) instanceof KeyCheckResult.Accepted)
        .orElse(true);
  }

  private void end(Taken taken, AttemptOutcome outcome, long latencyNanos) {
    taken.end(outcome, latencyNanos);
    switch (outcome) {
      case AttemptOutcome.ResponseReceived() -> services.crashes().onAnswered(fingerprint);
      case AttemptOutcome.ConnectionLost(boolean died, long bytes)
          when died && !request.hasCallerLeft() ->
          services.crashes().onDeath(fingerprint, taken.server().name());
      case AttemptOutcome.NotSent() -> permit.ifPresent(DispatchPermit::restore);
      default -> {}
    }
  }

  /** Leaves half of the time for another server while one may still be tried. */
  private long attemptDeadlineNanos() {
    long remainingNanos = request.deadlineNanos() - services.clock().monotonicNanos();
    return life.mayHaveRun()
        ? request.deadlineNanos()
        : request.deadlineNanos() - remainingNanos / 2;
  }

  private void sleepUntil(long untilNanos) throws InterruptedException {
    long millis = (untilNanos - services.clock().monotonicNanos()) / NANOS_PER_MILLI;
    if (millis > 0) {
      Thread.sleep(millis);
    }
  }
}
