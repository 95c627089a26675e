package org.bambooarch.gateway.request;

import java.util.Locale;
import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.RequestEventLog;
import org.bambooarch.gateway.target.SkippedResponse;
import org.bambooarch.gateway.target.SkippedResponseListener;

/** Counts and logs responses that were passed on to no request. Used on the event loop only. */
public final class SkippedResponseLogger implements SkippedResponseListener {

  private static final int MAX_ID_LENGTH = 64;

  private final RequestEventLog requestLog;
  private final GatewayMetrics metrics;

  /** Creates a logger that writes to the log and counts in the metrics. */
  public SkippedResponseLogger(RequestEventLog requestLog, GatewayMetrics metrics) {
    this.requestLog = requestLog;
    this.metrics = metrics;
  }

  @Override
  public void onResponseSkipped(String server, SkippedResponse response) {
    String reason = response.reason().name().toLowerCase(Locale.ROOT).replace('_', '-');
    metrics.onResponseSkipped(reason);
    if (requestLog.tryAcquireLineOfCause("response-skipped")) {
      requestLog.write(
          "event=response-skipped request=%s received=%s status=%d reason=%s server=%s"
                  .formatted(
                      toWord(response.requestId()),
                      toWord(response.receivedId()),
                      response.status(),
                      reason,
                      server)
              + " connection="
              + response.use().describe());
    }
  }

  /** Returns an id as one bounded word, since a server may send any text. */
  private static String toWord(String id) {
    if (id.isEmpty()) {
      return "-";
    }
    return id.substring(0, Math.min(id.length(), MAX_ID_LENGTH)).replaceAll("[^!#-~]", "?");
  }
}
