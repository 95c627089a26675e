package org.bambooarch.gateway.request;

import com.linecorp.armeria.common.HttpResponseWriter;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.bambooarch.core.steering.RequestPlan.Ending;
import org.bambooarch.core.steering.place.PlacementQuery;
import org.bambooarch.core.steering.place.ServerCell;
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

  private final ProxyExchange run;
  private final GatewayContext context;
  private final ControlState state;
  private final HttpResponseWriter writer;
  private final PlacementQuery query;
  private final ServerCell cell;
  private final int loadBefore;
  private long sentNanos;
  private ServerResponseHeaders answer;
  private HttpResponse head;
  private BufferedResponseRelay relay;

  /**
   * Creates an attempt that is not sent yet.
   *
   * @param run the request
   * @param context what all requests share
   * @param writer where an answer goes
   * @param query what the server was chosen for
   * @param cell the server
   * @param loadBefore requests that it had before
   */
  ServerAttempt(
      ProxyExchange run,
      GatewayContext context,
      HttpResponseWriter writer,
      PlacementQuery query,
      ServerCell cell,
      int loadBefore) {
    this.run = run;
    this.context = context;
    this.state = context.state();
    this.writer = writer;
    this.query = query;
    this.cell = cell;
    this.loadBefore = loadBefore;
    this.sentNanos = state.clock().monotonicNanos();
  }

  /** Returns the server. */
  ServerCell cell() {
    return cell;
  }

  /** Returns when the request was written to the server, or chosen for it. */
  long sentNanos() {
    return sentNanos;
  }

  /** Breaks an answer off that has begun; returns whether one had. */
  boolean breakOff() {
    if (relay == null || !relay.hasBegun()) {
      return false;
    }
    relay.breakOff();
    return true;
  }

  /** Passes the server's answer on as it is; returns its status. */
  int passOn() {
    relay.onWhole();
    return head.status().code();
  }

  @Override
  public void onUnreachable(boolean refused) {
    if (run.isFinished()) {
      return;
    }
    cell.onReturned();
    cell.onUnreachable(refused, state.clock().monotonicNanos());
    run.onAttemptFailed(Ending.NOT_SENT, "unreachable");
  }

  @Override
  public void onSending() {
    sentNanos = state.clock().monotonicNanos();
    run.onSending();
  }

  @Override
  public void onResponseHead(HttpResponse newHead, ServerResponseHeaders newAnswer) {
    head = newHead;
    answer = newAnswer;
    relay =
        new BufferedResponseRelay(
            writer, context.format().toClientResponse(head), run.handle(), state.isShuttingDown());
  }

  @Override
  public void onBodyPart(ByteBuf part) {
    if (run.isFinished() || relay == null) {
      part.release();
      return;
    }
    relay.onBody(part);
  }

  @Override
  public void onComplete() {
    if (run.isFinished()) {
      return;
    }
    long nowNanos = state.clock().monotonicNanos();
    cell.onReturned();
    answer.load().ifPresent(load -> cell.onLoad(load.running(), load.waiting(), nowNanos));
    if (answer.notRun() || answer.misdirected()) {
      onNotRun(nowNanos);
      return;
    }
    int status = head.status().code();
    boolean failure = status >= 500;
    cell.onAnswered(nowNanos - sentNanos, failure);
    if (!failure) {
      state.chooser().onServed(query, cell, loadBefore, nowNanos - sentNanos, nowNanos);
    }
    if (status < 300 && !answer.genuine()) {
      run.onAttemptFailed(Ending.LOST, "answer-not-genuine");
      return;
    }
    if (failure) {
      run.onAttemptFailed(Ending.FAILED, "server-failure");
      return;
    }
    run.onAnswered();
  }

  private void onNotRun(long nowNanos) {
    if (answer.misdirected()) {
      cell.onReplaced(nowNanos);
    } else {
      cell.onShed(nowNanos);
    }
    run.onAttemptFailed(Ending.NOT_RUN, answer.misdirected() ? "replaced" : "shed");
  }

  @Override
  public void onConnectionLost(String reason) {
    if (run.isFinished()) {
      return;
    }
    long nowNanos = state.clock().monotonicNanos();
    cell.onReturned();
    cell.onLost(nowNanos);
    if (breakOff()) {
      run.onBrokenOff();
      return;
    }
    run.onConnectionLost(reason, nowNanos);
  }
}
