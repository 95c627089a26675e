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
import org.bambooarch.entry.request.target.TargetSelection.ServerSlot;

/** Sends one request to one or more servers, as its {@link RequestStateMachine} decides; blocks. */
final class RequestDispatch {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final RequestServices services;
  private final CallerRequest request;
  private final Optional<DispatchPermit> permit;
  private final CrashFingerprint fingerprint;
  private final RequestStateMachine stateMachine;

  RequestDispatch(
      RequestServices services, CallerRequest request, Optional<DispatchPermit> permit) {
    this.services = services;
    this.request = request;
    this.permit = permit;
    this.fingerprint = request.fingerprint();
    RequestProperties properties =
        new RequestProperties(
            request.isIdempotent(), Optional.of(fingerprint), request.deadlineNanos());
    this.stateMachine =
        RequestStateMachine.of(
            properties, services.crashEvidence().table(), services.retryBudget(), services.clock());
  }

  DispatchResult run() throws InterruptedException {
    RequestStep step = stateMachine.start();
    while (true) {
      switch (step) {
        case RequestStep.Wait(long untilNanos) -> {
          sleepUntil(untilNanos);
          step = stateMachine.reevaluate();
        }
        case RequestStep.Refuse(Refusal refusal) -> {
          return new DispatchResult.Refused(refusal);
        }
        case RequestStep.Finished() ->
            throw new IllegalStateException("an answered request ends inside its attempt");
        case RequestStep.Send send -> {
          SendResult sendResult = attempt(send);
          if (sendResult instanceof SendResult.Final(DispatchResult result)) {
            return result;
          }
          step = ((SendResult.Continue) sendResult).step();
        }
      }
    }
  }

  private sealed interface SendResult {
    record Final(DispatchResult result) implements SendResult {}

    record Continue(RequestStep step) implements SendResult {}
  }

  private SendResult attempt(RequestStep.Send send) throws InterruptedException {
    Optional<ServerSlot> chosen = acquireSlot(send);
    if (chosen.isEmpty()) {
      return new SendResult.Continue(stateMachine.onNoServerAvailable());
    }
    ServerSlot slot = chosen.get();
    if (stateMachine.isOutdated()) {
      slot.cancel();
      return new SendResult.Continue(stateMachine.reevaluate());
    }
    Optional<NotRun> refusal = checkBeforeDispatch();
    if (refusal.isPresent()) {
      slot.cancel();
      return new SendResult.Final(refuseBeforeDispatch(refusal.get()));
    }
    stateMachine.onSend(slot.server().name());
    return dispatch(slot);
  }

  private Optional<ServerSlot> acquireSlot(RequestStep.Send send) {
    if (send.suspect().isEmpty()) {
      return services.selection().acquire(request.match(), send.excludedServers());
    }
    CrashStatus.Suspect suspect = send.suspect().get();
    Set<String> servers = services.selection().servers(request.match());
    return SuspectServerChoice.choose(fingerprint, suspect.crashedServer(), servers)
        .filter(server -> !send.excludedServers().contains(server))
        .flatMap(server -> services.selection().acquireServer(request.match(), server));
  }

  /** Checks again what may have changed while the request waited for its record or a slot. */
  private Optional<NotRun> checkBeforeDispatch() {
    if (request.keyDigest().isPresent()) {
      KeyCheckResult keyCheckResult = services.keyCheck().checkDigest(request.keyDigest().get());
      if (!(keyCheckResult instanceof KeyCheckResult.Accepted)) {
        return Optional.of(KeyRefusals.of(keyCheckResult));
      }
    }
    if (permit.isPresent() && !permit.get().tryUse(services.clock())) {
      return Optional.of(IdempotencyRefusals.dispatchDeadlinePassed());
    }
    return Optional.empty();
  }

  private DispatchResult refuseBeforeDispatch(NotRun refusal) {
    return stateMachine.mayHaveRun()
        ? new DispatchResult.Refused(stateMachine.outcomeUnknown())
        : new DispatchResult.Refused(refusal);
  }

  private SendResult dispatch(ServerSlot slot) throws InterruptedException {
    long startedNanos = services.clock().monotonicNanos();
    TargetExchange.Result result =
        request.isIdempotent()
            ? services
                .exchange()
                .sendAndAwaitHeaders(request, slot.server(), attemptDeadlineNanos())
            : services
                .exchange()
                .sendAndAwaitResponse(request, slot.server(), request.deadlineNanos());
    long latencyNanos = services.clock().monotonicNanos() - startedNanos;
    return switch (result) {
      case TargetExchange.Result.Failed(AttemptOutcome outcome) -> {
        completeAttempt(slot, outcome, latencyNanos);
        yield new SendResult.Continue(stateMachine.onOutcome(outcome));
      }
      case TargetExchange.Result.Aggregated(var response) -> {
        completeAttempt(slot, new AttemptOutcome.ResponseReceived(), latencyNanos);
        yield new SendResult.Final(new DispatchResult.Aggregated(response));
      }
      case TargetExchange.Result.HeadersReceived headersReceived ->
          new SendResult.Final(stream(slot, headersReceived));
    };
  }

  private DispatchResult stream(
      ServerSlot slot, TargetExchange.Result.HeadersReceived headersReceived) {
    long headersReceivedNanos = services.clock().monotonicNanos();
    ResponseHeaders callerHeaders =
        HeaderConverter.toCallerHeaders(headersReceived.headers(), request);
    ResponseRelay relay =
        ResponseRelay.start(
            request,
            headersReceived.headers(),
            callerHeaders,
            headersReceived.split(),
            this::isKeyStillValid);
    relay
        .completion()
        .thenAccept(
            complete -> {
              if (complete) {
                completeAttempt(
                    slot,
                    new AttemptOutcome.ResponseReceived(),
                    services.clock().monotonicNanos() - headersReceivedNanos);
              } else {
                slot.cancel();
              }
            });
    return new DispatchResult.Streaming(relay.response());
  }

  private boolean isKeyStillValid() {
    return request
        .keyDigest()
        .map(digest -> services.keyCheck().checkDigest(digest) instanceof KeyCheckResult.Accepted)
        .orElse(true);
  }

  private void completeAttempt(ServerSlot slot, AttemptOutcome outcome, long latencyNanos) {
    slot.complete(outcome, latencyNanos);
    switch (outcome) {
      case AttemptOutcome.ResponseReceived() -> services.crashEvidence().onResponse(fingerprint);
      case AttemptOutcome.ConnectionLost(boolean serverDown, long bytes)
          when serverDown && !request.hasCallerDisconnected() ->
          services.crashEvidence().onServerCrash(fingerprint, slot.server().name());
      case AttemptOutcome.NotSent() -> permit.ifPresent(DispatchPermit::restore);
      default -> {}
    }
  }

  /** Leaves half of the time for another server while one may still be tried. */
  private long attemptDeadlineNanos() {
    long remainingNanos = request.deadlineNanos() - services.clock().monotonicNanos();
    return stateMachine.mayHaveRun()
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
