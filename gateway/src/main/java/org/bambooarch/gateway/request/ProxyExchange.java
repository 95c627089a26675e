package org.bambooarch.gateway.request;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.bambooarch.core.steering.RetryDecider;
import org.bambooarch.core.steering.RetryDecider.AttemptResult;
import org.bambooarch.core.steering.config.CustomerPolicy;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServicePolicy;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.hash.Hashes;
import org.bambooarch.core.steering.place.NoRoomDetails;
import org.bambooarch.core.steering.place.Placement;
import org.bambooarch.core.steering.place.PlacementQuery;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.control.PeerSocket;
import org.bambooarch.gateway.observability.RequestOutcome;
import org.bambooarch.gateway.spi.ClientRequestHeaders;
import org.bambooarch.gateway.spi.RelayHeaders;
import org.bambooarch.gateway.spi.ServerRequestHeaders;
import org.bambooarch.gateway.target.RequestTime;
import org.bambooarch.gateway.target.SendGate;
import org.bambooarch.gateway.target.TargetRequest;
import org.bambooarch.gateway.target.TargetRequestHandle;

/**
 * Proxies one admitted request: chooses a server, forwards the request and relays the response, or
 * retries on another server or refuses the request.
 *
 * <p>{@link RetryDecider} decides what follows each attempt, and this class carries it out. Used on
 * the event loop only.
 */
final class ProxyExchange implements ClientRequestBody.Listener, SendGate.Owner {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Retry hint for clients if no better estimate is known. */
  private static final long DEFAULT_RETRY_AFTER_MILLIS = 500;

  private final GatewayContext context;
  private final ControlState state;
  private final RequestHeaders headers;
  private final ClientRequestHeaders clientHeaders;
  private final ServiceRoute route;
  private final Optional<CustomerPolicy> customer;
  private final Optional<CustomerPolicy> keyHolder;
  private final HttpResponseWriter writer;
  private final BooleanSupplier newestOnConnection;
  private final SteeringConfig admittedBy;
  private final String service;
  private final RetryDecider retryDecider;
  private final ClientRequestBody body;
  private final RequestLogger log;
  private final RequestTime time;
  private final RequestTimeline timeline;
  private final SendGate gate;
  private final ScheduledFuture<?> timeout;
  private long requestHash;
  private TargetRequestHandle requestHandle;
  private ServerState server;
  private Optional<InstanceIdentity> relay = Optional.empty();
  private ServerAttempt attempt;
  private boolean bodyStreamed;
  private boolean bodyUsedUp;
  private boolean finished;

  ProxyExchange(
      GatewayContext context,
      RequestHeaders headers,
      ClientRequestHeaders clientHeaders,
      Admission admission,
      HttpResponseWriter writer,
      BooleanSupplier newestOnConnection,
      long unreadNanos) {
    this.context = context;
    this.state = context.state();
    this.headers = headers;
    this.clientHeaders = clientHeaders;
    this.route = admission.route();
    this.customer = admission.customer();
    this.keyHolder = admission.keyHolder();
    this.admittedBy = admission.config();
    this.writer = writer;
    this.newestOnConnection = newestOnConnection;
    this.service = state.roundRobin().next(route);
    this.retryDecider = new RetryDecider(route, service, state.retries());
    this.body = new ClientRequestBody(this, admittedBy.callerLimits().maxBodyBytes());
    this.log =
        new RequestLogger(
            context,
            clientHeaders,
            route,
            service,
            customer,
            this::homeRegions,
            admittedBy.version());
    long readNanos = state.clock().monotonicNanos();
    this.time = RequestTime.of(readNanos - unreadNanos, clientHeaders.timeoutMillisOn(route));
    this.timeline = new RequestTimeline(time, readNanos);
    this.gate = new SendGate(context.loop(), state.clock(), time, this);
    this.timeout =
        context.loop().schedule(this::onDeadline, remainingNanos(), TimeUnit.NANOSECONDS);
  }

  /** Returns the subscriber that must receive the body of the client's request. */
  ClientRequestBody body() {
    return body;
  }

  @Override
  public void onBodyReady() {
    if (finished) {
      return;
    }
    bodyStreamed = body.bufferedBody().isEmpty();
    requestHash = requestFingerprint();
    gate.pass(this::chooseServerAndSend, () -> {});
  }

  @Override
  public double serviceNanos() {
    return state.chooser().warmNanos(service);
  }

  @Override
  public boolean mayRun() {
    return mayRunOnServers() && maySendBeforeStop() && !isChosenOutsideHomes();
  }

  private boolean mayRunOnServers() {
    return state.crashes().maySend(requestHash, state.clock().monotonicNanos());
  }

  /**
   * Returns whether the homes, or the region of the chosen server, have changed since the choice so
   * that the request must not go there.
   */
  private boolean isChosenOutsideHomes() {
    if (attempt == null) {
      return false;
    }
    HomeRegions homes = homeRegions();
    return !homes.permits(server.region())
        || relay.filter(instance -> !homes.permits(instance.region())).isPresent();
  }

  private boolean maySendBeforeStop() {
    if (state.stopSchedule().isEmpty() || retryDecider.mayHaveRun()) {
      return true;
    }
    double averageNanos = state.chooser().warmNanos(placementQuery());
    long nowNanos = state.clock().monotonicNanos();
    return state
        .stopSchedule()
        .get()
        .maySend(time.deadlineNanos(), averageNanos, route.idempotent(), nowNanos);
  }

  @Override
  public void onRefused(SendGate.Refusal refusal) {
    if (finished) {
      return;
    }
    cancelServerRequest();
    switch (refusal) {
      case FORBIDDEN -> chooseAgainOrRefuse();
      case TOO_LATE -> refuseLate();
      // ENDED
      default -> {}
    }
  }

  private void chooseAgainOrRefuse() {
    if (isChosenOutsideHomes()) {
      onAttemptFailed(AttemptResult.NOT_SENT, "outside-homes");
    } else {
      refuseForbidden();
    }
  }

  private void refuseForbidden() {
    if (mayRunOnServers()) {
      refuse(RequestOutcome.STOPPING, 503, ProxyService.STOPPING_RETRY_MILLIS);
    } else {
      refuse(RequestOutcome.CRASHES_SERVERS, retryDecider.mayHaveRun() ? 502 : 503, 0);
    }
  }

  private void refuseLate() {
    refuse(RequestOutcome.TIMED_OUT, retryDecider.mayHaveRun() ? 504 : 503, 0);
  }

  /**
   * Returns a hash by which the crash history recognizes the same request when it is sent again.
   */
  private long requestFingerprint() {
    long hash = Hashes.of(headers.get(HttpHeaderNames.METHOD) + " " + headers.path());
    hash = Hashes.combine(hash, Hashes.of(customer.map(CustomerPolicy::name).orElse("")));
    hash = Hashes.combine(hash, Hashes.of(clientHeaders.object().orElse("")));
    return Hashes.combine(hash, body.bufferedBody().map(Arrays::hashCode).orElse(0));
  }

  @Override
  public void onBodyTooLarge() {
    cancelServerRequest();
    requestHandle = null;
    if (state.isConfigurationConfirmed() || state.isConfigurationOutdated()) {
      refuseTooLarge();
      return;
    }
    context.configurationCheck().check().thenRun(this::refuseTooLarge);
    context
        .loop()
        .schedule(this::refuseTooLarge, ProxyService.MAX_CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Refuses the request for good only if the limit is known to be the newest. */
  private void refuseTooLarge() {
    boolean limitInForce = state.config().filter(this::hasSameBodyLimit).isPresent();
    if (limitInForce && state.isConfigurationConfirmed()) {
      refuse(RequestOutcome.TOO_LARGE, 413, 0);
    } else {
      refuseWithoutServer(RequestOutcome.CONFIGURATION_OUTDATED, DEFAULT_RETRY_AFTER_MILLIS);
    }
  }

  private boolean hasSameBodyLimit(SteeringConfig config) {
    return config.callerLimits().maxBodyBytes() == admittedBy.callerLimits().maxBodyBytes();
  }

  @Override
  public void onBodyReadFailed() {
    onClientDisconnected();
  }

  private void chooseServerAndSend() {
    timeline.onDecided(state.clock().monotonicNanos());
    if (mayHomesHaveMoved()) {
      refuseWithoutServer(RequestOutcome.CONFIGURATION_OUTDATED, DEFAULT_RETRY_AFTER_MILLIS);
      return;
    }
    boolean partitioned = context.relaySelector().isPartitionedFromServers();
    relay = partitioned ? chooseRelay() : Optional.empty();
    log.onChoseRelay(relay);
    if (partitioned && relay.isEmpty()) {
      refuseWithoutServer(RequestOutcome.PARTITIONED, DEFAULT_RETRY_AFTER_MILLIS);
      return;
    }
    PlacementQuery query = placementQuery();
    Placement placement =
        state.chooser().choose(query, servicePolicy(), state.clock().monotonicNanos());
    switch (placement) {
      case Placement.Chosen(ServerState chosen, int load) -> send(query, chosen, load);
      case Placement.NoRoom(long retryAfterMillis, NoRoomDetails details) -> {
        log.onNoRoom(details);
        refuseWithoutServer(RequestOutcome.NO_ROOM, retryAfterMillis);
      }
    }
  }

  /** Returns the instance for the next attempt; each attempt may go through another one. */
  private Optional<InstanceIdentity> chooseRelay() {
    long hash =
        Hashes.combine(Hashes.of(clientHeaders.requestId()), retryDecider.triedServers().size());
    return context.relaySelector().relayInstance(homeRegions(), hash);
  }

  /**
   * Returns the only regions that may run the request by the configuration in force now. Earlier
   * versions do not bind it: a request can then be served in a new home at once.
   */
  private HomeRegions homeRegions() {
    return state.config().orElse(admittedBy).homeRegionsOf(route, keyHolder);
  }

  /**
   * Returns whether a configuration that this instance could not read for some time may have moved
   * the homes. Another instance knows them.
   */
  private boolean mayHomesHaveMoved() {
    return state.isConfigurationLongMissed() && !homeRegions().equals(HomeRegions.ALL);
  }

  /** Refuses the request, for which there is no server now, as not run unless it may have run. */
  private void refuseWithoutServer(RequestOutcome outcome, long retryAfterMillis) {
    if (retryDecider.mayHaveRun()) {
      refuse(RequestOutcome.LOST, 502, 0);
    } else {
      refuse(outcome, 503, retryAfterMillis);
    }
  }

  private PlacementQuery placementQuery() {
    long objectHash =
        route.sticky()
            ? clientHeaders.object().map(Hashes::of).orElseGet(context.random()::nextLong)
            : context.random().nextLong();
    int priority = customer.map(CustomerPolicy::priority).orElse(route.priority());
    return new PlacementQuery(
        service,
        route.name(),
        Hashes.combine(objectHash, Hashes.of(service)),
        priority,
        Math.max(0, route.targetLatencyMillis() * NANOS_PER_MILLI - elapsedNanos()),
        remainingNanos(),
        homeRegions(),
        retryDecider.triedServers());
  }

  private ServicePolicy servicePolicy() {
    return state
        .config()
        .flatMap(config -> config.service(service))
        .orElseGet(() -> new ServicePolicy(service, "/", 0, 0, 1));
  }

  private void send(PlacementQuery query, ServerState chosen, int loadBefore) {
    server = chosen;
    log.onChosen(chosen, relay);
    retryDecider.onChosen(chosen.entry().id());
    chosen.onSent();
    context.metrics().onRequestSent();
    ServerRequestHeaders serverHeaders =
        new ServerRequestHeaders(
            Math.max(1, remainingNanos() / NANOS_PER_MILLI),
            chosen.entry().id(),
            customer.map(CustomerPolicy::name));
    HttpHeaders headersToServer = context.requestFormat().toServerRequest(headers, serverHeaders);
    TargetRequest request =
        new TargetRequest(
            headers.get(HttpHeaderNames.METHOD),
            headers.path(),
            headersToServer,
            clientHeaders.requestId(),
            route.idempotent(),
            body.bufferedBody(),
            headers.contentLength());
    final ServerAttempt newAttempt =
        new ServerAttempt(this, context, writer, query, chosen, loadBefore);
    attempt = newAttempt;
    log.onAttempt(newAttempt.trace());
    TargetRequestHandle newHandle = sendAttempt(newAttempt, request);
    // The attempt may have failed already.
    if (attempt == newAttempt) {
      requestHandle = newHandle;
      timeline.onAttempt(newHandle);
    }
  }

  private TargetRequestHandle sendAttempt(ServerAttempt newAttempt, TargetRequest request) {
    if (relay.isEmpty()) {
      return context.targetClient().send(newAttempt.server(), request, gate, newAttempt);
    }
    request.headers().set(RelayHeaders.SERVER, newAttempt.server().entry().id());
    return context
        .targetClient()
        .sendOverRelay(
            PeerSocket.addressOf(relay.get()),
            request,
            gate,
            new RelayedResponseListener(newAttempt));
  }

  /** Returns whether the request has ended; events that arrive later must be ignored. */
  @Override
  public boolean isFinished() {
    return finished;
  }

  /** Returns the handle of the request to the server that was chosen last. */
  TargetRequestHandle requestHandle() {
    return requestHandle;
  }

  /** Called when the request is about to be written to a server; it may run from now on. */
  void onSending() {
    retryDecider.onSending();
    timeline.onSending(attempt.sentNanos());
    if (bodyStreamed) {
      bodyUsedUp = true;
      // The head is written after this method returns, and parts of the body must follow it.
      context.loop().execute(this::startStreaming);
    }
  }

  private void startStreaming() {
    if (!finished) {
      body.streamTo(new ServerSink(requestHandle));
    }
  }

  /** Returns whether a server may have run the request in an attempt before this one. */
  boolean mayHaveRunBefore() {
    return retryDecider.mayHaveRunBefore();
  }

  /** Called when the server's response is complete and is to be relayed. */
  void onResponseComplete() {
    retryDecider.onAnswered();
    state.crashes().onAnswered(requestHash);
    finish(RequestOutcome.ANSWERED, attempt.responseStatus(), "");
    attempt.relayResponse();
  }

  /**
   * Called when a response that is no success is complete, of which the client has a part already.
   */
  void onStartedFailureComplete(String cause) {
    retryDecider.onAnswered();
    passResponseOn(cause);
  }

  private void passResponseOn(String cause) {
    finish(RequestOutcome.SERVER_FAILURE, attempt.responseStatus(), cause);
    attempt.relayResponse();
  }

  /** Called when a response was truncated of which the client has a part already. */
  void onResponseTruncated() {
    retryDecider.onAnswered();
    finish(RequestOutcome.LOST, 0, "broke-off");
    attempt.abortResponse();
  }

  /** Called when the connection to the server was lost before any of its response was relayed. */
  void onConnectionLost(String reason, long nowNanos) {
    state
        .crashes()
        .onServerCrash(requestHash, attempt.server().idHash(), attempt.sentNanos(), nowNanos);
    onAttemptFailed(AttemptResult.LOST, reason);
  }

  /**
   * Called when an attempt yielded no response to relay: retries, refuses or relays the failure.
   *
   * @param result how the attempt ended
   * @param cause short reason for the log
   */
  void onAttemptFailed(AttemptResult result, String cause) {
    boolean enoughTime =
        gate.hasEnoughTime() && stopLeavesTimeFor(state.chooser().warmNanos(service));
    RetryDecider.Step step = retryDecider.onAttemptEnded(result, enoughTime, !bodyUsedUp);
    log.onAttemptFailed(attempt.server(), result, cause, step);
    switch (step) {
      case SEND_ELSEWHERE -> retryOnAnotherServer();
      case REFUSE_NOT_RUN -> refuse(RequestOutcome.REJECTED, 503, DEFAULT_RETRY_AFTER_MILLIS);
      case PASS_FAILURE_ON -> passResponseOn(cause);
      // OUTCOME_UNKNOWN
      default -> refuse(RequestOutcome.LOST, 502, 0);
    }
  }

  private boolean stopLeavesTimeFor(double averageNanos) {
    long nowNanos = state.clock().monotonicNanos();
    return state
        .stopSchedule()
        .map(
            schedule ->
                schedule.leavesTimeFor(
                    time.deadlineNanos(), averageNanos, route.idempotent(), nowNanos))
        .orElse(true);
  }

  private void retryOnAnotherServer() {
    attempt = null;
    // It has ended, and its connection may be in use again.
    requestHandle = null;
    gate.pass(this::chooseServerAndSend, () -> {});
  }

  private record ServerSink(TargetRequestHandle requestHandle) implements ClientRequestBody.Sink {

    @Override
    public void writePart(ByteBuf part, Runnable written) {
      requestHandle.sendBody(part, written);
    }

    @Override
    public void end() {
      requestHandle.endBody();
    }
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    cancelServerRequest();
    refuseLate();
  }

  /**
   * Called when the client has disconnected. Cancels the request at its server, so that the server
   * stops working on it. Does nothing if the request has ended.
   */
  void onClientDisconnected() {
    if (finished) {
      return;
    }
    cancelServerRequest();
    finish(RequestOutcome.CALLER_LEFT, 0, "");
  }

  /** Refuses the request as not run unless it may have run, or has ended. */
  void refuseUnsent() {
    if (finished || retryDecider.mayHaveRun()) {
      return;
    }
    cancelServerRequest();
    refuse(RequestOutcome.STOPPING, 503, ProxyService.STOPPING_RETRY_MILLIS);
  }

  private void cancelServerRequest() {
    if (requestHandle != null && server != null && !finished) {
      requestHandle.cancel();
      server.onRequestEnded();
    }
  }

  private void refuse(RequestOutcome outcome, int status, long retryAfterMillis) {
    if (finished) {
      return;
    }
    if (attempt != null && attempt.hasStartedResponse()) {
      finish(outcome, 0, "broke-off");
      body.stop();
      attempt.abortResponse();
      return;
    }
    finish(outcome, status, log.lastFailure());
    body.stop();
    if (!retryDecider.mayHaveRun()) {
      customer.ifPresent(
          chargedCustomer ->
              state.rateLimiter().giveBack(chargedCustomer, state.clock().monotonicNanos()));
    }
    ResponseHeaders refusal =
        context.requestFormat().refusalHeaders(status, retryAfterMillis, clientHeaders.requestId());
    if (closesConnection()) {
      refusal = refusal.toBuilder().set(HttpHeaderNames.CONNECTION, "close").build();
    }
    if (writer.isOpen()) {
      writer.write(refusal);
    }
    writer.close();
  }

  /**
   * Ends the request. Comes before anything is written to the client, since the end of the client's
   * connection may be reported while a write runs.
   */
  private void finish(RequestOutcome outcome, int status, String cause) {
    finished = true;
    timeout.cancel(false);
    context.metrics().onRequestFinished(outcome, elapsedNanos());
    log.onFinished(
        outcome,
        status,
        cause,
        Optional.ofNullable(server),
        retryDecider.sends(),
        elapsedNanos(),
        timeline);
  }

  /** Returns whether a response that is written now is the last one on the client's connection. */
  boolean closesConnection() {
    return state.isShuttingDown() && newestOnConnection.getAsBoolean();
  }

  private long elapsedNanos() {
    return time.elapsedNanos(state.clock());
  }

  private long remainingNanos() {
    return time.remainingNanos(state.clock());
  }
}
