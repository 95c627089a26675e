package org.bambooarch.entry.request;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.SplitHttpResponse;
import com.linecorp.armeria.common.stream.AbortedStreamException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.bambooarch.core.request.header.ResponseCheck;
import org.bambooarch.entry.request.target.TargetExchange;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import org.tinylog.Logger;

/**
 * Streams the body of a target's response to the caller, with backpressure: the next chunk is
 * requested from the target when the caller has consumed the last one.
 *
 * <p>The relay aborts the response if its length differs from the declared one, if the caller's key
 * is no longer accepted, or if the target sends no chunk for 30 s ({@link #MAX_STALLED_CHECKS}
 * checks). An aborted response never looks complete to the caller. If the caller disconnects, the
 * request to the target is cancelled.
 */
final class ResponseRelay implements Subscriber<HttpData> {

  private static final long CHECK_INTERVAL_MILLIS = 500;
  private static final int MAX_STALLED_CHECKS = 60;

  private final HttpResponseWriter writer = HttpResponse.streaming();
  private final CompletableFuture<Boolean> completion = new CompletableFuture<>();
  private final String requestId;
  private final ResponseCheck check;
  private final BooleanSupplier mayContinue;
  private Subscription subscription;
  private volatile long chunksReceived;
  private volatile boolean awaitingTarget;
  private long chunksAtLastCheck;
  private int stalledChecks;

  private ResponseRelay(String requestId, ResponseCheck check, BooleanSupplier mayContinue) {
    this.requestId = requestId;
    this.check = check;
    this.mayContinue = mayContinue;
  }

  /**
   * Starts to stream a response to the caller.
   *
   * @param received headers that the target sent
   * @param callerHeaders headers for the caller
   * @param split the response of the target, whose headers have arrived
   * @param mayContinue called for each chunk and every {@link #CHECK_INTERVAL_MILLIS}; the response
   *     is aborted when it returns false
   */
  static ResponseRelay start(
      CallerRequest request,
      ResponseHeaders received,
      ResponseHeaders callerHeaders,
      SplitHttpResponse split,
      BooleanSupplier mayContinue) {
    ResponseCheck check = ResponseCheck.forRequest(request.requestId());
    check.onHeaders(request.requestId(), TargetExchange.declaredLength(received));
    ResponseRelay relay = new ResponseRelay(request.requestId(), check, mayContinue);
    relay.writer.write(callerHeaders);
    split.body().subscribe(relay);
    return relay;
  }

  /** Returns the response for the caller. */
  HttpResponse response() {
    return writer;
  }

  /**
   * Completes when the response has ended: with true if the caller was sent all of it, with false
   * if it was aborted or the caller disconnected.
   */
  CompletableFuture<Boolean> completion() {
    return completion;
  }

  @Override
  public void onSubscribe(Subscription newSubscription) {
    subscription = newSubscription;
    writer.whenComplete().exceptionally(this::onCallerDisconnected);
    scheduleCheck();
    requestNextChunk();
  }

  @Override
  public void onNext(HttpData chunk) {
    awaitingTarget = false;
    chunksReceived++;
    if (check.onData(chunk.length()) != ResponseCheck.Result.VALID) {
      chunk.close();
      abort("the response is longer than declared");
      return;
    }
    if (!mayContinue.getAsBoolean()) {
      chunk.close();
      abort("the key is no longer valid");
      return;
    }
    if (!writer.tryWrite(chunk)) {
      subscription.cancel();
      completion.complete(false);
      return;
    }
    writer.whenConsumed().thenRun(this::requestNextChunk);
  }

  @Override
  public void onError(Throwable cause) {
    writer.close(cause);
    completion.complete(false);
  }

  @Override
  public void onComplete() {
    if (check.onEnd() != ResponseCheck.Result.VALID) {
      abort("the response is shorter than declared");
      return;
    }
    writer.close();
    completion.complete(true);
  }

  private void requestNextChunk() {
    awaitingTarget = true;
    subscription.request(1);
  }

  private Void onCallerDisconnected(Throwable cause) {
    subscription.cancel();
    completion.complete(false);
    return null;
  }

  private void abort(String reason) {
    subscription.cancel();
    writer.close(AbortedStreamException.get());
    Logger.warn("event=answer-cut requestId={} reason=\"{}\"", requestId, reason);
    completion.complete(false);
  }

  private void scheduleCheck() {
    CompletableFuture.delayedExecutor(CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        .execute(this::checkProgress);
  }

  private void checkProgress() {
    if (completion.isDone()) {
      return;
    }
    Optional<String> reason = abortReason();
    if (reason.isPresent()) {
      abort(reason.get());
      return;
    }
    scheduleCheck();
  }

  private Optional<String> abortReason() {
    if (!mayContinue.getAsBoolean()) {
      return Optional.of("the key is no longer valid");
    }
    boolean progressed = chunksReceived != chunksAtLastCheck || !awaitingTarget;
    chunksAtLastCheck = chunksReceived;
    stalledChecks = progressed ? 0 : stalledChecks + 1;
    return stalledChecks >= MAX_STALLED_CHECKS
        ? Optional.of("the target sent no data for 30 s")
        : Optional.empty();
  }
}
