package org.bambooarch.core.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bambooarch.core.request.crash.CrashStatus;
import org.bambooarch.core.request.crash.CrashTable;
import org.bambooarch.core.time.Clock;

/**
 * Decides which servers one request is sent to and what its caller is told in the end.
 *
 * <p>A request that a target may have seen is never refused as not run: {@link #mayHaveRun} is set
 * before the first byte leaves and is never reset but by an attempt that provably had no effect.
 *
 * <p>Not thread-safe: one thread drives a request at a time.
 */
public final class RequestStateMachine {

  /** The shortest time that is worth a dispatch, in nanoseconds. */
  public static final long MIN_REMAINING_NANOS = 5_000_000L;

  /** The most servers that one request is sent to. */
  public static final int MAX_ATTEMPTS = 3;

  /**
   * How long a retry waits after the death of a target, in nanoseconds.
   *
   * <p>Longer than a crash report takes to any instance, by message or by the table that each
   * instance scans, so that copies of one request do not each take a server.
   */
  public static final long CRASH_REPORT_PROPAGATION_NANOS = 600_000_000L;

  /** Longer than the spread of a crash report, so that a resend meets instances that know of it. */
  private static final long CONNECTION_LOST_RETRY_AFTER_MILLIS = 1_000;

  private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;
  private static final long NO_TARGET_RETRY_AFTER_MILLIS = 2_000;

  private final RequestProperties properties;
  private final CrashTable crashes;
  private final RetryBudget budget;
  private final Clock clock;
  private final Set<String> triedServers = new HashSet<>();
  private CrashStatus crashStatusOfLastStep = new CrashStatus.Clear();
  private boolean mayHaveRun;
  private int attempts;

  private RequestStateMachine(
      RequestProperties properties, CrashTable crashes, RetryBudget budget, Clock clock) {
    this.properties = properties;
    this.crashes = crashes;
    this.budget = budget;
    this.clock = clock;
  }

  /** Returns the life of a request that was not sent yet. */
  public static RequestStateMachine of(
      RequestProperties properties, CrashTable crashes, RetryBudget budget, Clock clock) {
    return new RequestStateMachine(properties, crashes, budget, clock);
  }

  /** Returns the first step. */
  public RequestStep start() {
    budget.onRequest();
    return sendOrRefuse();
  }

  /**
   * Returns whether the last step no longer holds, because a crash report arrived since.
   *
   * <p>Ask right before the first byte leaves, for a request may have waited for a slot; if so, go
   * on with {@link #reevaluate}.
   */
  public boolean isOutdated() {
    return !crashStatus().equals(crashStatusOfLastStep);
  }

  /** Notes the server that the next attempt goes to; call it before the first byte leaves. */
  public void onSend(String server) {
    triedServers.add(server);
    attempts++;
  }

  /** Returns the step when no server can be chosen. */
  public RequestStep onNoServerAvailable() {
    return refuse(
        NotRun.of(NotRun.Reason.NO_TARGET, "no healthy server of the service has room")
            .withRetryAfterMillis(NO_TARGET_RETRY_AFTER_MILLIS));
  }

  /** Returns the step after an attempt. */
  public RequestStep onOutcome(AttemptOutcome outcome) {
    return switch (outcome) {
      case AttemptOutcome.ResponseReceived() -> new RequestStep.Finished();
      case AttemptOutcome.NotSent() -> retryAfterNotSent();
      case AttemptOutcome.Shed(boolean declaredNotRun, OptionalLong retryAfterMillis) -> {
        if (declaredNotRun) {
          yield afterShed(retryAfterMillis);
        }
        mayHaveRun = true;
        yield retryOrRefuse(0, targetBusy(retryAfterMillis));
      }
      case AttemptOutcome.ConnectionLost(boolean targetCrashed, long bytesForwarded) -> {
        mayHaveRun = true;
        yield targetCrashed
            ? retryAfterPropagation(bytesForwarded)
            : retryOrRefuse(bytesForwarded, connectionLost());
      }
      case AttemptOutcome.InvalidResponse(long bytesForwarded) -> {
        mayHaveRun = true;
        yield retryOrRefuse(bytesForwarded, invalidResponse());
      }
      case AttemptOutcome.TimedOut(long bytesForwarded) -> {
        mayHaveRun = true;
        yield retryOrRefuse(bytesForwarded, timedOut());
      }
    };
  }

  /** Returns the step after a wait. */
  public RequestStep reevaluate() {
    return sendOrRefuse();
  }

  /** Returns the refusal of a request that an earlier attempt may have run. */
  public OutcomeUnknown outcomeUnknown() {
    return connectionLost();
  }

  /** Returns whether a target may have run the request. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  private RequestStep retryAfterNotSent() {
    return canRetry() ? sendOrRefuse() : onNoServerAvailable();
  }

  private RequestStep afterShed(OptionalLong retryAfterMillis) {
    if (properties.idempotent() && canRetry()) {
      return sendOrRefuse();
    }
    return refuse(
        NotRun.of(NotRun.Reason.NO_ROOM, "the target shed the request and did not run it")
            .withRetryAfterMillis(retryAfterMillis.orElse(DEFAULT_RETRY_AFTER_MILLIS)));
  }

  private RequestStep retryOrRefuse(long bytesForwarded, OutcomeUnknown refusal) {
    if (!properties.idempotent() || bytesForwarded > 0 || !canRetry()) {
      return new RequestStep.Refuse(refusal);
    }
    return sendOrRefuse();
  }

  private RequestStep retryAfterPropagation(long bytesForwarded) {
    if (!properties.idempotent() || bytesForwarded > 0 || !canRetry()) {
      return new RequestStep.Refuse(connectionLost());
    }
    return new RequestStep.Wait(clock.monotonicNanos() + CRASH_REPORT_PROPAGATION_NANOS);
  }

  private boolean canRetry() {
    return attempts < MAX_ATTEMPTS && hasTimeLeft() && budget.tryTake();
  }

  private boolean hasTimeLeft() {
    return properties.deadlineNanos() - clock.monotonicNanos() >= MIN_REMAINING_NANOS;
  }

  private RequestStep sendOrRefuse() {
    if (!hasTimeLeft()) {
      return refuse(
          NotRun.of(NotRun.Reason.DEADLINE, "the deadline passes before a target can answer"));
    }
    crashStatusOfLastStep = crashStatus();
    return switch (crashStatusOfLastStep) {
      case CrashStatus.Clear() -> new RequestStep.Send(Set.copyOf(triedServers), Optional.empty());
      case CrashStatus.Suspect suspect ->
          new RequestStep.Send(Set.copyOf(triedServers), Optional.of(suspect));
      case CrashStatus.Blocked(long untilWallMillis) ->
          refuse(
              NotRun.of(
                      NotRun.Reason.CRASHES_TARGETS,
                      "two runs of this request ended with the death of their targets")
                  .withRetryAfterMillis(untilWallMillis - clock.wallMillis()));
    };
  }

  private CrashStatus crashStatus() {
    return properties
        .fingerprint()
        .map(fingerprint -> crashes.status(fingerprint, clock.wallMillis()))
        .orElseGet(CrashStatus.Clear::new);
  }

  private RequestStep refuse(NotRun refusal) {
    return new RequestStep.Refuse(mayHaveRun ? connectionLost() : refusal);
  }

  private static OutcomeUnknown connectionLost() {
    return OutcomeUnknown.of(
            OutcomeUnknown.Reason.TARGET_LOST,
            "the connection to the target ended before the whole answer arrived")
        .withRetryAfterMillis(CONNECTION_LOST_RETRY_AFTER_MILLIS);
  }

  private static OutcomeUnknown targetBusy(OptionalLong retryAfterMillis) {
    return OutcomeUnknown.of(
            OutcomeUnknown.Reason.TARGET_BUSY,
            "the target answered 429 or 503 and did not say that it left the request alone")
        .withRetryAfterMillis(retryAfterMillis.orElse(DEFAULT_RETRY_AFTER_MILLIS));
  }

  private static OutcomeUnknown invalidResponse() {
    return OutcomeUnknown.of(
        OutcomeUnknown.Reason.BAD_ANSWER,
        "the target's answer was not whole or not to this request");
  }

  private static OutcomeUnknown timedOut() {
    return OutcomeUnknown.of(
        OutcomeUnknown.Reason.DEADLINE, "the target did not answer before the deadline");
  }
}
