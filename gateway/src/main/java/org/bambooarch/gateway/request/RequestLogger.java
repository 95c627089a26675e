package org.bambooarch.gateway.request;

import java.util.Locale;
import java.util.Optional;
import org.bambooarch.core.steering.RetryDecider;
import org.bambooarch.core.steering.config.CustomerPolicy;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.place.NoRoomDetails;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.RequestOutcome;
import org.bambooarch.gateway.spi.ClientRequestHeaders;

/** Writes the log lines about one admitted request; docs/OPERATIONS.md explains their fields. */
final class RequestLogger {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Responses with a status below this one are sampled; the others are as rare as failures. */
  private static final int MIN_LOGGED_STATUS = 300;

  private final GatewayContext context;
  private final ClientRequestHeaders clientHeaders;
  private final ServiceRoute route;
  private final String service;
  private final Optional<CustomerPolicy> customer;
  private final RequestPlaces places;
  private final long admittedVersion;
  private final AttemptTraces attempts = new AttemptTraces();
  private String lastFailure = "";
  private String noRoomDetails = "";
  private String via = "";

  /**
   * Creates the logger of a request that was sent nowhere.
   *
   * @param homes the regions that may serve the request
   * @param admittedVersion version of the configuration by which the request was admitted
   */
  RequestLogger(
      GatewayContext context,
      ClientRequestHeaders clientHeaders,
      ServiceRoute route,
      String service,
      Optional<CustomerPolicy> customer,
      HomeRegions homes,
      long admittedVersion) {
    this.context = context;
    this.clientHeaders = clientHeaders;
    this.route = route;
    this.service = service;
    this.customer = customer;
    this.places = new RequestPlaces(homes, context.state().fleet().self().region());
    this.admittedVersion = admittedVersion;
  }

  /**
   * Records through which instance the next attempt goes; the lines about the attempt and about the
   * finished request state it.
   */
  void onChoseRelay(Optional<InstanceIdentity> relay) {
    via = relay.map(instance -> " via=" + instance.name()).orElse("");
  }

  /**
   * Records the server of the next attempt, and logs the attempt if the server or the relay is in a
   * region that is no home of the request.
   */
  void onChosen(ServerState server, Optional<InstanceIdentity> relay) {
    places.onChosen(server, relay);
    if (places.areOutsideHomes() && context.requestLog().tryAcquireLineOfCause("outside-homes")) {
      context
          .requestLog()
          .write(
              "event=outside-homes request=%s %s server=%s %s%s %s"
                  .formatted(
                      clientHeaders.requestId(),
                      origin(),
                      server.entry().id(),
                      places.describe(),
                      via,
                      describeVersions()));
    }
  }

  /** Records an attempt that begins now; the line about the finished request states it. */
  void onAttempt(AttemptTrace trace) {
    attempts.add(trace);
  }

  /** Records why no server had room; the line about the finished request states it. */
  void onNoRoom(NoRoomDetails details) {
    noRoomDetails = details.describe();
  }

  /**
   * Logs an attempt that yielded no response to relay, if the rate limit of the log permits it.
   *
   * @param result how the attempt ended
   * @param cause short reason for the log
   * @param next what follows
   */
  void onAttemptFailed(
      ServerState server, RetryDecider.AttemptResult result, String cause, RetryDecider.Step next) {
    lastFailure = cause;
    attempts.onLastEnded(result.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    if (context.requestLog().tryAcquireLine("attempt-failed")) {
      context
          .requestLog()
          .write(
              "event=attempt-failed request=%s server=%s ending=%s cause=\"%s\" next=%s%s"
                  .formatted(
                      clientHeaders.requestId(), server.entry().id(), result, cause, next, via));
    }
  }

  /** Returns the cause of the last failed attempt, or an empty string if none failed. */
  String lastFailure() {
    return lastFailure;
  }

  /**
   * Logs how the request ended. Requests answered with a success are sampled, unless an earlier
   * attempt was sent, their connection has had a response that was skipped, or the last attempt
   * went outside their homes; all others are logged up to the rate limits of the log.
   *
   * @param status HTTP status of the response, or 0 if there is none or it was aborted
   * @param cause short reason for the log; empty if nothing failed
   * @param server the last server that was chosen, if any
   * @param sends how often the request was sent to a server, without an attempt still in progress
   * @param durationNanos time since the head of the request arrived
   * @param timeline when its steps happened
   */
  void onFinished(
      RequestOutcome outcome,
      int status,
      String cause,
      Optional<ServerState> server,
      int sends,
      long durationNanos,
      RequestTimeline timeline) {
    attempts.onLastEnded(GatewayMetrics.labelOf(outcome));
    if (shouldLog(outcome, status)) {
      String subject = subject();
      String ending = ending(outcome, status, cause, server, sends, durationNanos);
      context
          .requestLog()
          .write(
              "event=request-finished %s %s %s%s %s %s %s"
                  .formatted(
                      subject,
                      ending,
                      places.describe(),
                      via,
                      describeVersions(),
                      timeline.describe(context.state().eventLoopLagNanos()),
                      noRoomDetails));
    }
  }

  private boolean shouldLog(RequestOutcome outcome, int status) {
    if (outcome != RequestOutcome.ANSWERED || status >= MIN_LOGGED_STATUS) {
      return context.requestLog().tryAcquireLine(GatewayMetrics.labelOf(outcome));
    }
    if (attempts.skippedByLast() > 0) {
      return context.requestLog().tryAcquireLineOfCause("answered-after-skip");
    }
    if (attempts.wasSentBeforeLast()) {
      return context.requestLog().tryAcquireLineOfCause("answered-after-retry");
    }
    if (places.areOutsideHomes()) {
      return context.requestLog().tryAcquireLineOfCause("answered-outside-homes");
    }
    return context.requestLog().shouldSampleAnswered();
  }

  /** Returns the version in force, and the one that admitted the request if it is another one. */
  private String describeVersions() {
    long version = context.state().config().map(SteeringConfig::version).orElse(0L);
    return "config="
        + version
        + (version == admittedVersion ? "" : " admitted-by=" + admittedVersion);
  }

  private String subject() {
    return "request=%s %s %s object=%s"
        .formatted(
            clientHeaders.requestId(),
            attempts.describe(),
            origin(),
            clientHeaders.object().orElse("-"));
  }

  private String origin() {
    return "route=%s service=%s customer=%s"
        .formatted(route.name(), service, customer.map(CustomerPolicy::name).orElse("-"));
  }

  private String ending(
      RequestOutcome outcome,
      int status,
      String cause,
      Optional<ServerState> server,
      int sends,
      long durationNanos) {
    long nowNanos = context.state().clock().monotonicNanos();
    return "outcome=%s status=%d cause=\"%s\" server=%s load=%d sends=%d took-millis=%d"
        .formatted(
            GatewayMetrics.labelOf(outcome),
            status,
            cause,
            server.map(lastServer -> lastServer.entry().id()).orElse("-"),
            server.map(lastServer -> lastServer.load(nowNanos)).orElse(0),
            sends,
            durationNanos / NANOS_PER_MILLI);
  }
}
