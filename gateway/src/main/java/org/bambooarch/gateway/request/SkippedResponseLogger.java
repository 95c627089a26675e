package org.bambooarch.gateway.request;

import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.LogWord;
import org.bambooarch.gateway.observability.RequestEventLog;
import org.bambooarch.gateway.target.SkippedResponse;
import org.bambooarch.gateway.target.SkippedResponseListener;

/** Counts and logs responses that were passed on to no request. Used on the event loop only. */
public final class SkippedResponseLogger implements SkippedResponseListener {

  private final RequestEventLog requestLog;
  private final GatewayMetrics metrics;

  /** Creates a logger that writes to the log and counts in the metrics. */
  public SkippedResponseLogger(RequestEventLog requestLog, GatewayMetrics metrics) {
    this.requestLog = requestLog;
    this.metrics = metrics;
  }

  @Override
  public void onResponseSkipped(String server, SkippedResponse response) {
    String reason = GatewayMetrics.labelOf(response.reason());
    metrics.onResponseSkipped(reason);
    if (requestLog.tryAcquireLineOfCause("response-skipped")) {
      requestLog.write(
          "event=response-skipped request=%s received=%s status=%d reason=%s server=%s"
                  .formatted(
                      LogWord.of(response.requestId()),
                      LogWord.of(response.receivedId()),
                      response.status(),
                      reason,
                      server)
              + " connection="
              + response.use().describe());
    }
  }
}
