package org.bambooarch.core.request.order;

import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.request.OutcomeUnknown;

/**
 * Judges a record that a send of the same request found in the table.
 *
 * <p>A pending record is never taken over: its owner may be paused between its last check and the
 * first byte, and no margin bounds a pause.
 */
public final class OrderRules {

  /** How long after its answer deadline a pending record still counts as running. */
  static final long RUNNING_MARGIN_MILLIS = 2_000;

  private static final long MIN_RETRY_AFTER_MILLIS = 200;

  private OrderRules() {}

  /**
   * Judges a record.
   *
   * @param found the record
   * @param digest what the new send asks for
   * @param self the new send
   * @param nowWallMillis the moment of judgement
   */
  public static OrderVerdict judge(
      StoredOrder found, RequestDigest digest, OrderOwner self, long nowWallMillis) {
    OrderRecord record = found.record();
    if (record.owner().equals(self)) {
      return new OrderVerdict.Own(found.version());
    }
    if (nowWallMillis >= record.expiresAtWallMillis()) {
      return new OrderVerdict.Free(found.version());
    }
    if (!record.digest().equals(digest)) {
      return refused(OrderRefusals.keyReused());
    }
    return switch (record.state()) {
      case OrderState.Released() -> new OrderVerdict.Free(found.version());
      case OrderState.Done(RecordedAnswer answer) -> new OrderVerdict.Replay(answer);
      case OrderState.Unknown() -> refused(OrderRefusals.earlierSendUnknown());
      case OrderState.Pending(long deadline) -> pending(deadline, nowWallMillis);
    };
  }

  private static OrderVerdict pending(long answerDeadlineWallMillis, long nowWallMillis) {
    long remainingMillis = answerDeadlineWallMillis + RUNNING_MARGIN_MILLIS - nowWallMillis;
    if (remainingMillis <= 0) {
      return refused(OrderRefusals.earlierSendUnknown());
    }
    long retryAfterMillis = Math.max(MIN_RETRY_AFTER_MILLIS, remainingMillis);
    return refused(OrderRefusals.stillRunning(retryAfterMillis));
  }

  private static OrderVerdict refused(NotRun refusal) {
    return new OrderVerdict.Refused(refusal);
  }

  private static OrderVerdict refused(OutcomeUnknown refusal) {
    return new OrderVerdict.Refused(refusal);
  }
}
