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
 * Passes the body of an answer on, one part at a time as the caller takes it.
 *
 * <p>The relay cuts the answer when it is not whole, when the key was withdrawn, or when it makes
 * no progress; a cut answer never looks complete. A caller that leaves cancels the target's work.
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
   * Starts to pass an answer on.
   *
   * @param mayContinue asked while the answer streams; false cuts it
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

  /** Returns the answer for the caller. */
  HttpResponse response() {
    return writer;
  }

  /** Completes when the answer has ended: true if the whole of it was passed on. */
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
      abort("the answer is longer than declared");
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
      abort("the answer is shorter than declared");
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
        ? Optional.of("the target makes no progress")
        : Optional.empty();
  }
}
