package org.bambooarch.gateway.request;

import org.bambooarch.gateway.target.RequestTime;
import org.bambooarch.gateway.target.TargetRequestHandle;

/**
 * When the steps of a request and of its last attempt happened, for the log.
 *
 * <p>All times are monotonic, in nanoseconds; 0 stands for a step that did not happen. Used on the
 * event loop only.
 */
final class RequestTimeline {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final long arrivedNanos;
  private final long readNanos;
  private long decidedNanos;
  private long sentNanos;
  private TargetRequestHandle lastHandle;

  /**
   * Creates the timeline of a request.
   *
   * @param readNanos when its head was read
   */
  RequestTimeline(RequestTime time, long readNanos) {
    this.arrivedNanos = time.arrivedNanos();
    this.readNanos = readNanos;
  }

  /** Records that a server is to be chosen now; the times of an earlier attempt are dropped. */
  void onDecided(long nowNanos) {
    decidedNanos = nowNanos;
    sentNanos = 0;
    lastHandle = null;
  }

  /** Records that a connection to the server was asked for. */
  void onAttempt(TargetRequestHandle handle) {
    lastHandle = handle;
  }

  /** Records that the request is about to be written. */
  void onSending(long nowNanos) {
    sentNanos = nowNanos;
  }

  /**
   * Returns the steps as key-value pairs, in milliseconds since the request arrived.
   *
   * @param lagNanos how late the event loop is; what ended the request may have been unread for so
   *     long
   */
  String describe(long lagNanos) {
    return "read-millis=%s decided-millis=%s connecting-millis=%s opened-millis=%s sent-millis=%s%s"
        .formatted(
            since(readNanos),
            since(decidedNanos),
            since(lastHandle == null ? 0 : lastHandle.connectingNanos()),
            since(lastHandle == null ? 0 : lastHandle.openedNanos()),
            since(sentNanos),
            " lag-millis=" + lagNanos / NANOS_PER_MILLI);
  }

  private String since(long nanos) {
    return nanos == 0 ? "-" : Long.toString((nanos - arrivedNanos) / NANOS_PER_MILLI);
  }
}
