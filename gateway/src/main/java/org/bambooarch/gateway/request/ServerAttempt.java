package org.bambooarch.gateway.request;

import com.linecorp.armeria.common.HttpResponseWriter;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.bambooarch.core.steering.RetryDecider.AttemptResult;
import org.bambooarch.core.steering.place.PlacementQuery;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.bambooarch.gateway.target.ConnectionUse;
import org.bambooarch.gateway.target.TargetResponseListener;

/**
 * One attempt to have a server run a request. Evaluates the response, or its absence: updates the
 * state of the server and reports the result to the {@link ProxyExchange}.
 *
 * <p>Used on the event loop only.
 */
final class ServerAttempt implements TargetResponseListener {

  private final ProxyExchange exchange;
  private final GatewayContext context;
  private final ControlState state;
  private final HttpResponseWriter writer;
  private final PlacementQuery query;
  private final ServerState server;
  private final ServerEntry sentTo;
  private final int loadBefore;
  private final AttemptTrace trace;
  private long sentNanos;
  private ServerResponseHeaders responseHeaders;
  private HttpResponse responseHead;
  private BufferedResponseRelay relay;

  /**
   * Creates an attempt that has not been sent yet.
   *
   * @param exchange the exchange of the client's request
   * @param context objects that all requests share
   * @param writer writer of the response to the client
   * @param query the query for which the server was chosen
   * @param server the server
   * @param loadBefore number of requests that the server had before this one, as far as known
   */
  ServerAttempt(
      ProxyExchange exchange,
      GatewayContext context,
      HttpResponseWriter writer,
      PlacementQuery query,
      ServerState server,
      int loadBefore) {
    this.exchange = exchange;
    this.context = context;
    this.state = context.state();
    this.writer = writer;
    this.query = query;
    this.server = server;
    this.sentTo = server.entry();
    this.loadBefore = loadBefore;
    this.trace = new AttemptTrace(sentTo.id());
    this.sentNanos = state.clock().monotonicNanos();
  }

  /** Returns how the attempt went so far. */
  AttemptTrace trace() {
    return trace;
  }

  /** Returns the server that gets the request. */
  ServerState server() {
    return server;
  }

  /**
   * Returns the monotonic time at which the request was written to the server, in nanoseconds;
   * before that, the time at which the server was chosen.
   */
  long sentNanos() {
    return sentNanos;
  }

  /** Returns whether a part of the response has been written to the client already. */
  boolean hasStartedResponse() {
    return relay != null && relay.hasStarted();
  }

  /**
   * Aborts the started response to the client. The exchange must have finished before, since the
   * end of the client's connection is reported to it while this method runs.
   */
  void abortResponse() {
    relay.abort();
  }

  /** Returns the HTTP status of the server's response. */
  int responseStatus() {
    return responseHead.status().code();
  }

  /** Relays the complete response of the server to the client. The exchange must have finished. */
  void relayResponse() {
    relay.onComplete();
  }

  @Override
  public void onUnreachable(boolean refused) {
    if (exchange.isFinished()) {
      return;
    }
    server.onRequestEnded();
    server.onUnreachable(refused, state.clock().monotonicNanos());
    exchange.onAttemptFailed(AttemptResult.NOT_SENT, "unreachable");
  }

  /**
   * Called when no connection to the relay instance could be opened; says nothing of the server.
   */
  void onRelayUnreachable() {
    if (exchange.isFinished()) {
      return;
    }
    server.onRequestEnded();
    exchange.onAttemptFailed(AttemptResult.NOT_SENT, "relay-unreachable");
  }

  /** Called when the relay instance sent nothing, since it may not or cannot reach the server. */
  void onNotSentByRelay() {
    if (exchange.isFinished()) {
      return;
    }
    server.onRequestEnded();
    server.onNotReachedByRelay(state.clock().monotonicNanos());
    exchange.onAttemptFailed(AttemptResult.NOT_SENT, "not-sent-by-relay");
  }

  /**
   * Called when the connection to the relay instance was lost; the server may have run the request,
   * but there is no sign that it crashed.
   */
  void onRelayLost(String reason) {
    if (exchange.isFinished()) {
      return;
    }
    server.onRequestEnded();
    if (hasStartedResponse()) {
      exchange.onResponseTruncated();
      return;
    }
    exchange.onAttemptFailed(AttemptResult.LOST, "relay-lost: " + reason);
  }

  @Override
  public void onConnection(ConnectionUse use) {
    trace.onConnection(use);
  }

  @Override
  public void onSending() {
    sentNanos = state.clock().monotonicNanos();
    exchange.onSending();
  }

  @Override
  public void onResponseHead(
      HttpResponse newResponseHead, ServerResponseHeaders newResponseHeaders) {
    responseHead = newResponseHead;
    responseHeaders = newResponseHeaders;
    trace.onResponseHead(responseStatus());
    state.serverDirectives().onResponseHead(server, sentTo, responseHeaders);
    if (!responseHeaders.genuine() || deniesEarlierRun()) {
      return;
    }
    relay =
        new BufferedResponseRelay(
            writer,
            context.requestFormat().toClientResponse(responseHead),
            exchange.requestHandle(),
            exchange::closesConnection,
            context.responseBuffers());
  }

  /**
   * Returns whether the response states that the request did not run, which holds for this server
   * but not for an earlier one. The client must not get it, so no part of it is kept.
   */
  private boolean deniesEarlierRun() {
    boolean notRun = responseHeaders.notRun() || responseHeaders.misdirected();
    return notRun && exchange.mayHaveRunBefore();
  }

  @Override
  public void onBodyPart(ByteBuf part) {
    if (exchange.isFinished() || relay == null) {
      part.release();
      return;
    }
    relay.onBodyPart(part);
  }

  @Override
  public void onComplete() {
    if (exchange.isFinished()) {
      return;
    }
    long nowNanos = state.clock().monotonicNanos();
    server.onRequestEnded();
    responseHeaders
        .load()
        .ifPresent(load -> server.onLoadReported(load.running(), load.waiting(), nowNanos));
    if (responseHeaders.notRun() || responseHeaders.misdirected()) {
      onNotRun(nowNanos);
      return;
    }
    int status = responseHead.status().code();
    boolean failure = status >= 500;
    server.onAnswered(nowNanos - sentNanos, failure || !responseHeaders.genuine());
    if (!responseHeaders.genuine()) {
      exchange.onAttemptFailed(AttemptResult.LOST, "answer-not-genuine");
      return;
    }
    if (!failure) {
      state.chooser().onServed(query, server, loadBefore, nowNanos - sentNanos, nowNanos);
    }
    if (failure) {
      onUnsuccessful(AttemptResult.FAILED, "server-failure");
      return;
    }
    exchange.onResponseComplete();
  }

  /** Ends the attempt; a response of which the client has a part already can't be replaced. */
  private void onUnsuccessful(AttemptResult result, String cause) {
    if (hasStartedResponse()) {
      exchange.onStartedFailureComplete(cause);
    } else {
      exchange.onAttemptFailed(result, cause);
    }
  }

  private void onNotRun(long nowNanos) {
    if (responseHeaders.misdirected()) {
      server.onAddressReused(nowNanos);
    } else {
      server.onShed(nowNanos);
    }
    onUnsuccessful(AttemptResult.NOT_RUN, responseHeaders.misdirected() ? "replaced" : "shed");
  }

  @Override
  public void onConnectionLost(String reason) {
    if (exchange.isFinished()) {
      return;
    }
    long nowNanos = state.clock().monotonicNanos();
    server.onRequestEnded();
    server.onLost(nowNanos);
    if (hasStartedResponse()) {
      exchange.onResponseTruncated();
      return;
    }
    exchange.onConnectionLost(reason, nowNanos);
  }
}
