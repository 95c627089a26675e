package org.bambooarch.gateway.relay;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.request.BufferedResponseRelay;
import org.bambooarch.gateway.request.ClientRequestBody;
import org.bambooarch.gateway.request.GatewayContext;
import org.bambooarch.gateway.request.ProxyService;
import org.bambooarch.gateway.spi.ClientRequestHeaders;
import org.bambooarch.gateway.spi.RelayHeaders;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.bambooarch.gateway.target.RequestTime;
import org.bambooarch.gateway.target.SendGate;
import org.bambooarch.gateway.target.TargetRequest;
import org.bambooarch.gateway.target.TargetRequestHandle;
import org.bambooarch.gateway.target.TargetResponseListener;

/**
 * Forwards one request of another instance to the server that it names, and passes the response
 * back. Chooses no other server, and never sends the request again.
 *
 * <p>Used on the event loop only.
 */
final class RelayExchange
    implements ClientRequestBody.Listener, TargetResponseListener, SendGate.Owner {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Time after the deadline at which the request is given up if the other instance, which closes
   * the connection at the deadline, was lost without a sign.
   */
  private static final long ABANDON_AFTER_NANOS = 1_000_000_000L;

  private static final int STATUS_NOT_SENT = 503;
  private static final int STATUS_LOST = 502;

  private final GatewayContext context;
  private final ControlState state;
  private final RequestHeaders headers;
  private final ClientRequestHeaders relayedHeaders;
  private final String serverId;
  private final HttpResponseWriter writer;
  private final ClientRequestBody body;
  private final RequestTime time;
  private final SendGate gate;
  private final ScheduledFuture<?> timeout;
  private ServerState server;
  private ServerEntry sentTo;
  private TargetRequestHandle requestHandle;
  private BufferedResponseRelay relay;
  private boolean finished;

  /**
   * Creates an exchange that has not sent anything.
   *
   * @param unreadNanos for how long the request has been unread, in nanoseconds
   */
  RelayExchange(
      GatewayContext context, RequestHeaders headers, HttpResponseWriter writer, long unreadNanos) {
    this.context = context;
    this.state = context.state();
    this.headers = headers;
    this.relayedHeaders = context.requestFormat().readClientRequest(headers);
    this.serverId = headers.get(RelayHeaders.SERVER, "");
    this.writer = writer;
    // The other instance has checked the length.
    this.body = new ClientRequestBody(this, Long.MAX_VALUE);
    long arrivedNanos = state.clock().monotonicNanos() - unreadNanos;
    this.time = RequestTime.of(arrivedNanos, relayedHeaders.timeoutMillis().orElse(0));
    this.gate = new SendGate(context.loop(), state.clock(), time, this);
    this.timeout =
        context
            .loop()
            .schedule(
                this::onAbandoned, remainingNanos() + ABANDON_AFTER_NANOS, TimeUnit.NANOSECONDS);
  }

  /** Returns the subscriber that must receive the body of the request. */
  ClientRequestBody body() {
    return body;
  }

  private long remainingNanos() {
    return time.remainingNanos(state.clock());
  }

  @Override
  public void onBodyReady() {
    gate.pass(this::send, () -> {});
  }

  @Override
  public boolean isFinished() {
    return finished;
  }

  @Override
  public double serviceNanos() {
    return state
        .servers()
        .findAvailable(serverId)
        .map(known -> state.chooser().warmNanos(known.entry().service()))
        .orElse(0.0);
  }

  @Override
  public boolean mayRun() {
    return state
        .servers()
        .findAvailable(serverId)
        .map(known -> isAtHome(known) && maySendBeforeStop(known))
        .orElse(true);
  }

  /**
   * Returns whether the server's region is a home by the list and the configuration in force here.
   * While another instance is known to have a newer configuration, any region counts as one, since
   * that may be the instance that chose the server. The region of this instance is not checked: the
   * body has arrived here already.
   */
  private boolean isAtHome(ServerState known) {
    return state.hasMissedConfiguration()
        || state
            .config()
            .map(config -> config.homeRegionsOf(authority(), path(), customer()))
            .filter(homes -> !homes.permits(known.region()))
            .isEmpty();
  }

  private String authority() {
    return Optional.ofNullable(headers.authority()).orElse("");
  }

  private String path() {
    return ProxyService.pathOf(headers.path());
  }

  private Optional<String> customer() {
    return context.requestFormat().relayedCustomer(headers);
  }

  @Override
  public void onRefused(SendGate.Refusal refusal) {
    String cause =
        switch (refusal) {
          case FORBIDDEN -> isServerAtHome() ? "stopping" : "outside-homes";
          case TOO_LATE, ENDED -> "too-late";
        };
    respond(RelayHeaders.Outcome.NOT_SENT, cause);
  }

  private boolean isServerAtHome() {
    return state.servers().findAvailable(serverId).map(this::isAtHome).orElse(true);
  }

  private void send() {
    Optional<ServerState> server = state.servers().findAvailable(serverId);
    if (server.isEmpty()) {
      respond(RelayHeaders.Outcome.NOT_SENT, "no-such-server");
    } else if (state.isPartitionedFromServers()) {
      respond(RelayHeaders.Outcome.NOT_SENT, "partitioned");
    } else if (server.get().isResting(state.clock().monotonicNanos())) {
      respond(RelayHeaders.Outcome.NOT_SENT, "resting");
    } else if (!state.limitShares().tryTake(server.get(), state.clock().monotonicNanos())) {
      respond(RelayHeaders.Outcome.NOT_SENT, "limited");
    } else {
      sendTo(server.get(), Math.max(1, remainingNanos() / NANOS_PER_MILLI));
    }
  }

  private boolean maySendBeforeStop(ServerState chosen) {
    double averageNanos = state.chooser().warmNanos(chosen.entry().service());
    long nowNanos = state.clock().monotonicNanos();
    // Whether the request is idempotent is not known here.
    return state
        .stopSchedule()
        .map(schedule -> schedule.maySend(time.deadlineNanos(), averageNanos, false, nowNanos))
        .orElse(true);
  }

  private void sendTo(ServerState chosen, long timeoutMillis) {
    server = chosen;
    sentTo = chosen.entry();
    HttpHeaders headersToServer = context.requestFormat().toServerRequest(headers, timeoutMillis);
    // Whether the request is idempotent is not known here, so it is sent as if it were not.
    TargetRequest request =
        new TargetRequest(
            headers.get(HttpHeaderNames.METHOD),
            headers.path(),
            headersToServer,
            relayedHeaders.requestId(),
            false,
            body.bufferedBody(),
            headers.contentLength());
    requestHandle = context.targetClient().send(server, request, gate, this);
  }

  @Override
  public void onBodyTooLarge() {
    throw new IllegalStateException("the body of a relayed request has no limit");
  }

  @Override
  public void onBodyReadFailed() {
    onDisconnected();
  }

  @Override
  public void onUnreachable(boolean serverRefused) {
    respond(RelayHeaders.Outcome.NOT_SENT, "unreachable");
  }

  @Override
  public void onSending() {
    if (body.bufferedBody().isEmpty()) {
      // The head is written after this method returns, and parts of the body must follow it.
      context.loop().execute(this::startStreaming);
    }
  }

  private void startStreaming() {
    if (!finished) {
      body.streamTo(new ServerSink(requestHandle));
    }
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

  @Override
  public void onResponseHead(HttpResponse head, ServerResponseHeaders responseHeaders) {
    state.serverDirectives().onResponseHead(server, sentTo, responseHeaders);
    relay =
        new BufferedResponseRelay(
            writer,
            context.requestFormat().toRelayedResponse(head),
            requestHandle,
            state::isShuttingDown,
            context.responseBuffers());
  }

  @Override
  public void onBodyPart(ByteBuf part) {
    if (finished) {
      part.release();
    } else {
      relay.onBodyPart(part);
    }
  }

  @Override
  public void onComplete() {
    if (!finished) {
      finish();
      relay.onComplete();
    }
  }

  @Override
  public void onConnectionLost(String reason) {
    if (finished) {
      return;
    }
    if (relay != null && relay.hasStarted()) {
      logFailure("broke-off");
      finish();
      relay.abort();
      return;
    }
    respond(RelayHeaders.Outcome.LOST, reason);
  }

  private void onAbandoned() {
    if (!finished) {
      logFailure("abandoned");
      onDisconnected();
      writer.close(new IllegalStateException("the other instance did not end the request in time"));
    }
  }

  /**
   * Called when the other instance has closed the connection, since its client has left or the
   * deadline has passed. Cancels the request at the server. Does nothing if the request has ended.
   */
  void onDisconnected() {
    if (finished) {
      return;
    }
    finish();
    if (requestHandle != null) {
      requestHandle.cancel();
    }
  }

  private void respond(RelayHeaders.Outcome outcome, String cause) {
    if (finished) {
      return;
    }
    logFailure(cause);
    finish();
    body.stop();
    int status = outcome == RelayHeaders.Outcome.LOST ? STATUS_LOST : STATUS_NOT_SENT;
    ResponseHeaders head =
        context.requestFormat().refusalHeaders(status, 0, relayedHeaders.requestId()).toBuilder()
            .set(RelayHeaders.OUTCOME, outcome.headerValue())
            .build();
    if (writer.isOpen()) {
      writer.write(head);
    }
    writer.close();
  }

  private void logFailure(String cause) {
    if (context.requestLog().tryAcquireLine("relay-failed")) {
      context
          .requestLog()
          .write(
              "event=relay-failed request=%s server=%s cause=\"%s\""
                  .formatted(relayedHeaders.requestId(), serverId, cause));
    }
  }

  private void finish() {
    finished = true;
    timeout.cancel(false);
  }
}
