package org.bambooarch.core.request.idempotency;

import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.request.OutcomeUnknown;

/**
 * Decides what a copy of a request may do with a record that it found under its key.
 *
 * <p>A pending record of another owner is not replaced before it expires, even when its deadlines
 * have passed: the owner may be paused between its last check of the deadline and sending the first
 * byte, and no safety margin bounds the length of a pause.
 */
public final class IdempotencyRules {

  /** How long after its response deadline a pending record counts as running, in milliseconds. */
  static final long RUNNING_MARGIN_MILLIS = 2_000;

  private static final long MIN_RETRY_AFTER_MILLIS = 200;

  private IdempotencyRules() {}

  /**
   * Returns the decision for one copy of a request.
   *
   * @param found the record found under the key of the request
   * @param digest digest of the request
   * @param self identifies the copy that found the record
   * @param nowWallMillis current wall-clock time in milliseconds
   */
  public static IdempotencyDecision evaluate(
      VersionedIdempotencyRecord found,
      RequestDigest digest,
      IdempotencyRecordOwner self,
      long nowWallMillis) {
    IdempotencyRecord record = found.record();
    if (record.owner().equals(self)) {
      return new IdempotencyDecision.OwnRecord(found.version());
    }
    if (nowWallMillis >= record.expiresAtWallMillis()) {
      return new IdempotencyDecision.Replaceable(found.version());
    }
    if (!record.digest().equals(digest)) {
      return refused(IdempotencyRefusals.keyReused());
    }
    return switch (record.state()) {
      case IdempotencyRecordState.Released() ->
          new IdempotencyDecision.Replaceable(found.version());
      case IdempotencyRecordState.Done(RecordedResponse response) ->
          new IdempotencyDecision.Replay(response);
      case IdempotencyRecordState.Unknown() -> refused(IdempotencyRefusals.earlierSendUnknown());
      case IdempotencyRecordState.Pending(long deadline) ->
          evaluatePending(deadline, nowWallMillis);
    };
  }

  private static IdempotencyDecision evaluatePending(
      long answerDeadlineWallMillis, long nowWallMillis) {
    long remainingMillis = answerDeadlineWallMillis + RUNNING_MARGIN_MILLIS - nowWallMillis;
    if (remainingMillis <= 0) {
      return refused(IdempotencyRefusals.earlierSendUnknown());
    }
    long retryAfterMillis = Math.max(MIN_RETRY_AFTER_MILLIS, remainingMillis);
    return refused(IdempotencyRefusals.stillRunning(retryAfterMillis));
  }

  private static IdempotencyDecision refused(NotRun refusal) {
    return new IdempotencyDecision.Refused(refusal);
  }

  private static IdempotencyDecision refused(OutcomeUnknown refusal) {
    return new IdempotencyDecision.Refused(refusal);
  }
}
