package org.bambooarch.gateway.request;

import com.linecorp.armeria.common.HttpResponseWriter;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.bambooarch.core.steering.RetryDecider.AttemptResult;
import org.bambooarch.core.steering.place.PlacementQuery;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.port.AnswerHeaders;
import org.bambooarch.gateway.target.TargetCall;

/**
 * One attempt to have a server run a request: what its answer, or the lack of one, says of the
 * server and of the request.
 *
 * <p>All of it runs on the event loop.
 */
final class ServerAttempt implements TargetCall {

  private final RequestRun run;
  private final RequestContext context;
  private final ControlState state;
  private final HttpResponseWriter writer;
  private final PlacementQuery query;
  private final ServerState cell;
  private final int loadBefore;
  private long sentNanos;
  private AnswerHeaders answer;
  private HttpResponse head;
  private AnswerRelay relay;

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
      RequestRun run,
      RequestContext context,
      HttpResponseWriter writer,
      PlacementQuery query,
      ServerState cell,
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
  ServerState cell() {
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
    cell.onRequestEnded();
    cell.onUnreachable(refused, state.clock().monotonicNanos());
    run.onAttemptFailed(AttemptResult.NOT_SENT, "unreachable");
  }

  @Override
  public void onSending() {
    sentNanos = state.clock().monotonicNanos();
    run.onSending();
  }

  @Override
  public void onHead(HttpResponse newHead, AnswerHeaders newAnswer) {
    head = newHead;
    answer = newAnswer;
    relay =
        new AnswerRelay(writer, context.format().toCaller(head), run.handle(), state.isLeaving());
  }

  @Override
  public void onBody(ByteBuf part) {
    if (run.isFinished() || relay == null) {
      part.release();
      return;
    }
    relay.onBody(part);
  }

  @Override
  public void onWhole() {
    if (run.isFinished()) {
      return;
    }
    long nowNanos = state.clock().monotonicNanos();
    cell.onRequestEnded();
    answer.load().ifPresent(load -> cell.onLoadReported(load.running(), load.waiting(), nowNanos));
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
      run.onAttemptFailed(AttemptResult.LOST, "answer-not-genuine");
      return;
    }
    if (failure) {
      run.onAttemptFailed(AttemptResult.FAILED, "server-failure");
      return;
    }
    run.onAnswered();
  }

  private void onNotRun(long nowNanos) {
    if (answer.misdirected()) {
      cell.onAddressReused(nowNanos);
    } else {
      cell.onShed(nowNanos);
    }
    run.onAttemptFailed(AttemptResult.NOT_RUN, answer.misdirected() ? "replaced" : "shed");
  }

  @Override
  public void onLost(String reason) {
    if (run.isFinished()) {
      return;
    }
    long nowNanos = state.clock().monotonicNanos();
    cell.onRequestEnded();
    cell.onLost(nowNanos);
    if (breakOff()) {
      run.onBrokenOff();
      return;
    }
    run.onConnectionLost(reason, nowNanos);
  }
}
