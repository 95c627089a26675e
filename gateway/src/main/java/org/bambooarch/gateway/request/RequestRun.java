package org.bambooarch.gateway.request;

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
import org.bambooarch.core.steering.RequestPlan;
import org.bambooarch.core.steering.RequestPlan.Ending;
import org.bambooarch.core.steering.config.CustomerPolicy;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServicePolicy;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.hash.Hashes;
import org.bambooarch.core.steering.place.Placement;
import org.bambooarch.core.steering.place.PlacementQuery;
import org.bambooarch.core.steering.place.ServerCell;
import org.bambooarch.core.steering.place.Shortage;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.operators.GatewayMetrics;
import org.bambooarch.gateway.operators.RequestOutcome;
import org.bambooarch.gateway.port.AnswerHeaders;
import org.bambooarch.gateway.port.CallerHeaders;
import org.bambooarch.gateway.port.ServerCallHeaders;
import org.bambooarch.gateway.target.TargetCall;
import org.bambooarch.gateway.target.TargetHandle;
import org.bambooarch.gateway.target.TargetRequest;

/**
 * One admitted request on its way to a server and back.
 *
 * <p>All of it runs on the event loop. {@link RequestPlan} decides what follows each attempt; this
 * class carries it out.
 */
final class RequestRun implements CallerBody.Listener {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Least part of a service's average time that must be left for another attempt. */
  private static final double LEAST_TIME_PART = 0.5;

  /** How long a returning caller is asked to wait if nothing better is known. */
  private static final long DEFAULT_RETRY_AFTER_MILLIS = 500;

  private final RequestContext context;
  private final ControlState state;
  private final RequestHeaders headers;
  private final CallerHeaders caller;
  private final ServiceRoute route;
  private final Optional<CustomerPolicy> customer;
  private final HttpResponseWriter writer;
  private final String service;
  private final RequestPlan plan;
  private final HomeRegions homes;
  private final CallerBody body;
  private final long arrivedNanos;
  private final long deadlineNanos;
  private final ScheduledFuture<?> timeout;
  private long requestHash;
  private PlacementQuery query;
  private TargetHandle handle;
  private ServerCell server;
  private AnswerRelay relay;
  private boolean streamed;
  private boolean finished;

  /** How the last attempt ended, if one failed. */
  private String lastLoss = "";

  /** What the last choice of a server was made from, if none had room. */
  private String inputs = "";

  RequestRun(
      RequestContext context,
      RequestHeaders headers,
      CallerHeaders caller,
      ServiceRoute route,
      Optional<CustomerPolicy> customer,
      HttpResponseWriter writer,
      long maxBodyBytes) {
    this.context = context;
    this.state = context.state();
    this.headers = headers;
    this.caller = caller;
    this.route = route;
    this.customer = customer;
    this.writer = writer;
    this.service = state.splits().next(route);
    this.plan = new RequestPlan(route, service, state.retries());
    this.homes = HomeRegions.of(route, customer);
    this.body = new CallerBody(this, maxBodyBytes);
    this.arrivedNanos = state.clock().monotonicNanos();
    long waitMillis =
        Math.min(route.timeoutMillis(), caller.waitMillis().orElse(route.timeoutMillis()));
    this.deadlineNanos = arrivedNanos + waitMillis * NANOS_PER_MILLI;
    this.timeout = context.loop().schedule(this::onDeadline, waitMillis, TimeUnit.MILLISECONDS);
  }

  CallerBody body() {
    return body;
  }

  @Override
  public void onBodyReady() {
    if (finished) {
      return;
    }
    streamed = body.whole().isEmpty();
    requestHash = fingerprint();
    if (!state.crashes().maySend(requestHash, state.clock().monotonicNanos())) {
      refuse(RequestOutcome.CRASHES_SERVERS, 503, 0);
      return;
    }
    sendToNext();
  }

  private long fingerprint() {
    long hash = Hashes.of(headers.method().name() + " " + headers.path());
    hash = Hashes.combine(hash, Hashes.of(customer.map(CustomerPolicy::name).orElse("")));
    hash = Hashes.combine(hash, Hashes.of(caller.object().orElse("")));
    return Hashes.combine(hash, body.whole().map(java.util.Arrays::hashCode).orElse(0));
  }

  @Override
  public void onBodyTooLarge() {
    abandonServer();
    refuse(RequestOutcome.TOO_LARGE, 413, 0);
  }

  @Override
  public void onBodyFailed() {
    onCallerLeft();
  }

  private void sendToNext() {
    if (homes.excludesAll()) {
      refuse(RequestOutcome.NO_ROOM, 503, DEFAULT_RETRY_AFTER_MILLIS);
      return;
    }
    query = newQuery();
    Placement placement = state.chooser().choose(query, policy(), state.clock().monotonicNanos());
    switch (placement) {
      case Placement.Chosen(ServerCell chosen, int load) -> send(chosen, load);
      case Placement.NoRoom(long retryAfterMillis, Shortage shortage) -> {
        inputs = shortage.describe();
        if (plan.mayHaveRun()) {
          refuse(RequestOutcome.LOST, 502, 0);
        } else {
          refuse(RequestOutcome.NO_ROOM, 503, retryAfterMillis);
        }
      }
    }
  }

  private PlacementQuery newQuery() {
    long objectHash =
        route.sticky()
            ? caller.object().map(Hashes::of).orElseGet(context.random()::nextLong)
            : context.random().nextLong();
    int priority = customer.map(CustomerPolicy::priority).orElse(route.priority());
    return new PlacementQuery(
        service,
        Hashes.combine(objectHash, Hashes.of(service)),
        priority,
        Math.max(0, route.targetLatencyMillis() * NANOS_PER_MILLI - elapsedNanos()),
        remainingNanos(),
        homes.regions(),
        plan.triedServers());
  }

  private ServicePolicy policy() {
    return state
        .config()
        .flatMap(config -> config.service(service))
        .orElseGet(() -> new ServicePolicy(service, "/", 0, 0, 1));
  }

  private void send(ServerCell chosen, int loadBefore) {
    server = chosen;
    plan.onChosen(chosen.entry().id());
    chosen.onSent();
    context.metrics().onSend();
    ServerCallHeaders own =
        new ServerCallHeaders(
            Math.max(1, remainingNanos() / NANOS_PER_MILLI),
            chosen.entry().id(),
            customer.map(CustomerPolicy::name));
    HttpHeaders towardsServer = context.format().toServer(headers, own);
    TargetRequest request =
        new TargetRequest(
            headers.method().name(),
            headers.path(),
            towardsServer,
            caller.requestId(),
            route.idempotent(),
            body.whole(),
            headers.contentLength());
    handle = context.connections().send(chosen, request, new Attempt(chosen, loadBefore));
  }

  /** One attempt at one server. */
  private final class Attempt implements TargetCall {

    private final ServerCell cell;
    private final int loadBefore;
    private long sentNanos;
    private AnswerHeaders answer;
    private HttpResponse head;

    private Attempt(ServerCell cell, int loadBefore) {
      this.cell = cell;
      this.loadBefore = loadBefore;
      this.sentNanos = state.clock().monotonicNanos();
    }

    @Override
    public void onUnreachable(boolean refused) {
      if (finished) {
        return;
      }
      cell.onReturned();
      cell.onUnreachable(refused, state.clock().monotonicNanos());
      follow(Ending.NOT_SENT, "unreachable");
    }

    @Override
    public void onSending() {
      sentNanos = state.clock().monotonicNanos();
      plan.onSending();
      if (streamed) {
        // The connection takes parts of the body only after the head was written.
        context.loop().execute(this::startStreaming);
      }
    }

    private void startStreaming() {
      if (!finished) {
        body.streamTo(new ServerSink(handle));
      }
    }

    @Override
    public void onHead(HttpResponse newHead, AnswerHeaders newAnswer) {
      head = newHead;
      answer = newAnswer;
      relay = new AnswerRelay(writer, context.format().toCaller(head), handle, state.isLeaving());
    }

    @Override
    public void onBody(ByteBuf part) {
      if (finished || relay == null) {
        part.release();
        return;
      }
      relay.onBody(part);
    }

    @Override
    public void onWhole() {
      if (finished) {
        return;
      }
      long nowNanos = state.clock().monotonicNanos();
      cell.onReturned();
      answer.load().ifPresent(load -> cell.onLoad(load.running(), load.waiting(), nowNanos));
      int status = head.status().code();
      if (answer.notRun() || answer.misdirected()) {
        onNotRun(nowNanos);
        return;
      }
      boolean failure = status >= 500;
      cell.onAnswered(nowNanos - sentNanos, failure);
      if (!failure) {
        state.chooser().onServed(query, cell, loadBefore, nowNanos - sentNanos, nowNanos);
      }
      if (status < 300 && !answer.genuine()) {
        follow(Ending.LOST, "answer-not-genuine");
        return;
      }
      if (failure) {
        follow(Ending.FAILED, "server-failure");
        return;
      }
      plan.onAnswered();
      state.crashes().onAnswered(requestHash);
      relay.onWhole();
      finish(RequestOutcome.ANSWERED, status, "");
    }

    private void onNotRun(long nowNanos) {
      if (answer.misdirected()) {
        cell.onReplaced(nowNanos);
      } else {
        cell.onShed(nowNanos);
      }
      follow(Ending.NOT_RUN, answer.misdirected() ? "replaced" : "shed");
    }

    @Override
    public void onLost(String reason) {
      if (finished) {
        return;
      }
      long nowNanos = state.clock().monotonicNanos();
      cell.onReturned();
      cell.onLost(nowNanos);
      if (relay != null && relay.hasBegun()) {
        relay.breakOff();
        plan.onAnswered();
        finish(RequestOutcome.LOST, 0, "broke-off");
        return;
      }
      state.crashes().onDeath(requestHash, cell.hash(), sentNanos, nowNanos);
      follow(Ending.LOST, reason);
    }

    private void follow(Ending ending, String cause) {
      double serviceNanos = state.chooser().warmNanos(service);
      boolean time = remainingNanos() > serviceNanos * LEAST_TIME_PART;
      RequestPlan.Step step = plan.onEnding(ending, time, !streamed);
      lastLoss = cause;
      logAttempt(cell, ending, step, cause);
      switch (step) {
        case SEND_ELSEWHERE -> {
          relay = null;
          if (state.crashes().maySend(requestHash, state.clock().monotonicNanos())) {
            sendToNext();
          } else {
            refuse(RequestOutcome.CRASHES_SERVERS, 502, 0);
          }
        }
        case REFUSE_NOT_RUN -> refuse(RequestOutcome.REJECTED, 503, DEFAULT_RETRY_AFTER_MILLIS);
        case PASS_FAILURE_ON -> {
          relay.onWhole();
          finish(RequestOutcome.SERVER_FAILURE, head.status().code(), cause);
        }
        // OUTCOME_UNKNOWN
        default -> refuse(RequestOutcome.LOST, 502, 0);
      }
    }
  }

  private record ServerSink(TargetHandle handle) implements CallerBody.Sink {

    @Override
    public void take(ByteBuf part, Runnable written) {
      handle.sendBody(part, written);
    }

    @Override
    public void end() {
      handle.endBody();
    }
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    abandonServer();
    if (relay != null && relay.hasBegun()) {
      relay.breakOff();
      finish(RequestOutcome.TIMED_OUT, 0, "broke-off");
      return;
    }
    refuse(RequestOutcome.TIMED_OUT, plan.mayHaveRun() ? 504 : 503, 0);
  }

  /** Ends the request because its caller left; its server stops working on it. */
  void onCallerLeft() {
    if (finished) {
      return;
    }
    abandonServer();
    finish(RequestOutcome.CALLER_LEFT, 0, "");
  }

  private void abandonServer() {
    if (handle != null && server != null && !finished) {
      handle.abandon();
      server.onReturned();
    }
  }

  private void refuse(RequestOutcome outcome, int status, long retryAfterMillis) {
    if (finished) {
      return;
    }
    body.stop();
    if (!plan.mayHaveRun()) {
      customer.ifPresent(payer -> state.shares().giveBack(payer, state.clock().monotonicNanos()));
    }
    ResponseHeaders refusal =
        context.format().refusal(status, retryAfterMillis, caller.requestId());
    if (state.isLeaving()) {
      refusal = refusal.toBuilder().set(HttpHeaderNames.CONNECTION, "close").build();
    }
    writer.write(refusal);
    writer.close();
    finish(outcome, status, lastLoss);
  }

  private void finish(RequestOutcome outcome, int status, String cause) {
    finished = true;
    timeout.cancel(false);
    long nowNanos = state.clock().monotonicNanos();
    context.metrics().onFinished(outcome, nowNanos - arrivedNanos);
    boolean logged =
        outcome == RequestOutcome.ANSWERED
            ? context.log().samplesAnswer()
            : context.log().hasRoom(GatewayMetrics.labelOf(outcome));
    if (logged) {
      context.log().write(line(outcome, status, cause, nowNanos));
    }
  }

  private String line(RequestOutcome outcome, int status, String cause, long nowNanos) {
    return new RequestLines.Finished(
            caller.requestId(),
            route.name(),
            service,
            customer.map(CustomerPolicy::name).orElse("-"),
            caller.object().orElse("-"),
            outcome,
            status,
            cause,
            server == null ? "-" : server.entry().id(),
            server == null ? 0 : server.load(nowNanos),
            plan.sends(),
            (nowNanos - arrivedNanos) / NANOS_PER_MILLI,
            state.config().map(SteeringConfig::version).orElse(0L),
            inputs)
        .line();
  }

  private void logAttempt(ServerCell cell, Ending ending, RequestPlan.Step step, String cause) {
    if (context.log().hasRoom("attempt-failed")) {
      context
          .log()
          .write(
              RequestLines.attemptFailed(
                  caller.requestId(), cell.entry().id(), ending, cause, step));
    }
  }

  private long elapsedNanos() {
    return state.clock().monotonicNanos() - arrivedNanos;
  }

  private long remainingNanos() {
    return deadlineNanos - state.clock().monotonicNanos();
  }
}
