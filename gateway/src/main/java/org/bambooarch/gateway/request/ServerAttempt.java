package org.bambooarch.gateway.request;

import com.linecorp.armeria.common.HttpResponseWriter;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.bambooarch.core.steering.RetryDecider.AttemptResult;
import org.bambooarch.core.steering.place.PlacementQuery;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.bambooarch.gateway.target.TargetResponseListener;

/**
 * One attempt to have a server run a request: what its answer, or the lack of one, says of the
 * server and of the request.
 *
 * <p>All of it runs on the event loop.
 */
final class ServerAttempt implements TargetResponseListener {

  private final ProxyExchange exchange;
  private final GatewayContext context;
  private final ControlState state;
  private final HttpResponseWriter writer;
  private final PlacementQuery query;
  private final ServerState server;
  private final int loadBefore;
  private long sentNanos;
  private ServerResponseHeaders responseHeaders;
  private HttpResponse responseHead;
  private BufferedResponseRelay relay;

  /**
   * Creates an attempt that is not sent yet.
   *
   * @param exchange the request
   * @param context what all requests share
   * @param writer where an answer goes
   * @param query what the server was chosen for
   * @param server the server
   * @param loadBefore requests that it had before
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
    this.loadBefore = loadBefore;
    this.sentNanos = state.clock().monotonicNanos();
  }

  /** Returns the server. */
  ServerState server() {
    return server;
  }

  /** Returns when the request was written to the server, or chosen for it. */
  long sentNanos() {
    return sentNanos;
  }

  /** Breaks an answer off that has begun; returns whether one had. */
  boolean abortStartedResponse() {
    if (relay == null || !relay.hasStarted()) {
      return false;
    }
    relay.abort();
    return true;
  }

  /** Passes the server's answer on as it is; returns its status. */
  int relayResponse() {
    relay.onComplete();
    return responseHead.status().code();
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
    relay =
        new BufferedResponseRelay(
            writer,
            context.requestFormat().toClientResponse(responseHead),
            exchange.requestHandle(),
            state.isShuttingDown());
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
    server.onAnswered(nowNanos - sentNanos, failure);
    if (!failure) {
      state.chooser().onServed(query, server, loadBefore, nowNanos - sentNanos, nowNanos);
    }
    if (status < 300 && !responseHeaders.genuine()) {
      exchange.onAttemptFailed(AttemptResult.LOST, "answer-not-genuine");
      return;
    }
    if (failure) {
      exchange.onAttemptFailed(AttemptResult.FAILED, "server-failure");
      return;
    }
    exchange.onResponseComplete();
  }

  private void onNotRun(long nowNanos) {
    if (responseHeaders.misdirected()) {
      server.onAddressReused(nowNanos);
    } else {
      server.onShed(nowNanos);
    }
    exchange.onAttemptFailed(
        AttemptResult.NOT_RUN, responseHeaders.misdirected() ? "replaced" : "shed");
  }

  @Override
  public void onConnectionLost(String reason) {
    if (exchange.isFinished()) {
      return;
    }
    long nowNanos = state.clock().monotonicNanos();
    server.onRequestEnded();
    server.onLost(nowNanos);
    if (abortStartedResponse()) {
      exchange.onResponseTruncated();
      return;
    }
    exchange.onConnectionLost(reason, nowNanos);
  }
}
