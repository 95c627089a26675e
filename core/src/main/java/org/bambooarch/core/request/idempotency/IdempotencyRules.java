package org.bambooarch.core.request.idempotency;

import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.request.OutcomeUnknown;

/**
 * Judges a record that a send of the same request found in the table.
 *
 * <p>A pending record is never taken over: its owner may be paused between its last check and the
 * first byte, and no margin bounds a pause.
 */
public final class IdempotencyRules {

  /** How long after its answer deadline a pending record still counts as running. */
  static final long RUNNING_MARGIN_MILLIS = 2_000;

  private static final long MIN_RETRY_AFTER_MILLIS = 200;

  private IdempotencyRules() {}

  /**
   * Judges a record.
   *
   * @param found the record
   * @param digest what the new send asks for
   * @param self the new send
   * @param nowWallMillis the moment of judgement
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
