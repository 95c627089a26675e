package org.bambooarch.core.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bambooarch.core.request.crash.CrashStatus;
import org.bambooarch.core.request.crash.CrashTable;
import org.bambooarch.core.time.Clock;

/**
 * Decides which servers one request is sent to and, if it gets no response, how it is refused.
 *
 * <p>Does no I/O: the driver carries out each {@link RequestStep} and reports back.
 *
 * <p>A request that a target may have run is never refused as {@link NotRun}. Each failed attempt
 * sets {@link #mayHaveRun}, unless no byte was sent or the target declared that it did not run the
 * request; the flag is never reset.
 *
 * <p>Not thread-safe: one thread drives a request at a time.
 */
public final class RequestStateMachine {

  /** Time before the deadline below which no further attempt is made, in nanoseconds: 5 ms. */
  public static final long MIN_REMAINING_NANOS = 5_000_000L;

  /** The most attempts for one request, each on another server. */
  public static final int MAX_ATTEMPTS = 3;

  /**
   * How long a retry waits after the crash of a target, in nanoseconds: 600 ms.
   *
   * <p>Longer than a crash report takes to reach any instance, by a message of another instance or
   * through the stored table {@code crashes}, which each instance scans. Otherwise copies of one
   * request that run on several instances could each crash a further server.
   */
  public static final long CRASH_REPORT_PROPAGATION_NANOS = 600_000_000L;

  /**
   * Longer than {@link #CRASH_REPORT_PROPAGATION_NANOS}, so that a retry by the caller reaches
   * instances that know of the crash.
   */
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

  /** Returns the state machine of a request that has not been sent yet. */
  public static RequestStateMachine of(
      RequestProperties properties, CrashTable crashes, RetryBudget budget, Clock clock) {
    return new RequestStateMachine(properties, crashes, budget, clock);
  }

  /** Returns the first step and counts the request in the retry budget; called once. */
  public RequestStep start() {
    budget.onRequest();
    return sendOrRefuse();
  }

  /**
   * Returns whether the last step is outdated because the crash status of the request has changed
   * since, for instance by a crash report of another instance.
   *
   * <p>Call it right before the first byte is sent, because the request may have waited for a slot;
   * if it returns true, continue with {@link #reevaluate}.
   */
  public boolean isOutdated() {
    return !crashStatus().equals(crashStatusOfLastStep);
  }

  /** Records the server of the next attempt; call it before the first byte is sent. */
  public void onSend(String server) {
    triedServers.add(server);
    attempts++;
  }

  /** Returns the step to take when no server can be chosen for a {@link RequestStep.Send}. */
  public RequestStep onNoServerAvailable() {
    return refuse(
        NotRun.of(NotRun.Reason.NO_TARGET, "no healthy server of the service has room")
            .withRetryAfterMillis(NO_TARGET_RETRY_AFTER_MILLIS));
  }

  /** Returns the step after an attempt that ended with the given outcome. */
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

  /** Returns the step after a {@link RequestStep.Wait}, or when {@link #isOutdated}. */
  public RequestStep reevaluate() {
    return sendOrRefuse();
  }

  /** Returns the refusal to use when {@link #mayHaveRun} and no further attempt is made. */
  public OutcomeUnknown outcomeUnknown() {
    return connectionLost();
  }

  /**
   * Returns whether a target may have run the request, as far as the outcomes reported to {@link
   * #onOutcome} tell.
   */
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
