package org.bambooarch.gateway.request;

import java.util.Optional;
import org.bambooarch.core.steering.RetryDecider;
import org.bambooarch.core.steering.config.CustomerPolicy;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.place.NoRoomDetails;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.gateway.operators.GatewayMetrics;
import org.bambooarch.gateway.operators.RequestOutcome;
import org.bambooarch.gateway.port.CallerHeaders;

/** The log lines about one admitted request; docs/OPERATIONS.md explains their fields. */
final class RequestLog {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final RequestContext context;
  private final CallerHeaders caller;
  private final ServiceRoute route;
  private final String service;
  private final Optional<CustomerPolicy> customer;
  private String lastFailure = "";
  private String inputs = "";

  RequestLog(
      RequestContext context,
      CallerHeaders caller,
      ServiceRoute route,
      String service,
      Optional<CustomerPolicy> customer) {
    this.context = context;
    this.caller = caller;
    this.route = route;
    this.service = service;
    this.customer = customer;
  }

  /** Notes what the last choice of a server was made from; the last line tells it. */
  void onNoRoom(NoRoomDetails details) {
    inputs = details.describe();
  }

  /** Tells of an attempt at a server that brought no answer to pass on. */
  void onAttemptFailed(
      ServerState server, RetryDecider.AttemptResult ending, String cause, RetryDecider.Step next) {
    lastFailure = cause;
    if (context.log().hasRoom("attempt-failed")) {
      context
          .log()
          .write(
              "event=attempt-failed request=%s server=%s ending=%s cause=\"%s\" next=%s"
                  .formatted(caller.requestId(), server.entry().id(), ending, cause, next));
    }
  }

  /** Returns how the last attempt ended, or nothing if none failed. */
  String lastFailure() {
    return lastFailure;
  }

  /**
   * Tells how the request ended, if the log has room.
   *
   * @param server the last server, if it was sent to one
   * @param sends how often it was sent
   */
  void onFinished(
      RequestOutcome outcome,
      int status,
      String cause,
      Optional<ServerState> server,
      int sends,
      long tookNanos) {
    boolean logged =
        outcome == RequestOutcome.ANSWERED
            ? context.log().samplesAnswer()
            : context.log().hasRoom(GatewayMetrics.labelOf(outcome));
    if (logged) {
      String subject = subject();
      String ending = ending(outcome, status, cause, server, sends, tookNanos);
      long version = context.state().config().map(SteeringConfig::version).orElse(0L);
      context
          .log()
          .write(
              "event=request-finished %s %s config=%d %s"
                  .formatted(subject, ending, version, inputs));
    }
  }

  private String subject() {
    return "request=%s route=%s service=%s customer=%s object=%s"
        .formatted(
            caller.requestId(),
            route.name(),
            service,
            customer.map(CustomerPolicy::name).orElse("-"),
            caller.object().orElse("-"));
  }

  private String ending(
      RequestOutcome outcome,
      int status,
      String cause,
      Optional<ServerState> server,
      int sends,
      long tookNanos) {
    long nowNanos = context.state().clock().monotonicNanos();
    return "outcome=%s status=%d cause=\"%s\" server=%s load=%d sends=%d took-millis=%d"
        .formatted(
            GatewayMetrics.labelOf(outcome),
            status,
            cause,
            server.map(cell -> cell.entry().id()).orElse("-"),
            server.map(cell -> cell.load(nowNanos)).orElse(0),
            sends,
            tookNanos / NANOS_PER_MILLI);
  }
}
