package org.bambooarch.gateway.request;

import org.bambooarch.core.steering.RequestPlan;
import org.bambooarch.gateway.operators.GatewayMetrics;
import org.bambooarch.gateway.operators.RequestOutcome;

/** The log lines about one admitted request; docs/OPERATIONS.md explains their fields. */
final class RequestLines {

  private RequestLines() {}

  /**
   * The end of a request and the inputs that decided it.
   *
   * @param server name of the last server, or a dash
   * @param load requests that the server has now
   * @param inputs fields of what the last decision was made from, or nothing
   */
  record Finished(
      String requestId,
      String route,
      String service,
      String customer,
      String object,
      RequestOutcome outcome,
      int status,
      String cause,
      String server,
      int load,
      int sends,
      long tookMillis,
      long configVersion,
      String inputs) {

    String line() {
      return "event=request-finished request=%s route=%s service=%s customer=%s object=%s"
              .formatted(requestId, route, service, customer, object)
          + " outcome=%s status=%d cause=\"%s\" server=%s load=%d sends=%d"
              .formatted(GatewayMetrics.labelOf(outcome), status, cause, server, load, sends)
          + " took-millis=%d config=%d %s".formatted(tookMillis, configVersion, inputs);
    }
  }

  /** Returns the line about an attempt at a server that brought no answer to pass on. */
  static String attemptFailed(
      String requestId,
      String server,
      RequestPlan.Ending ending,
      String cause,
      RequestPlan.Step next) {
    return "event=attempt-failed request=%s server=%s ending=%s cause=\"%s\" next=%s"
        .formatted(requestId, server, ending, cause, next);
  }
}
