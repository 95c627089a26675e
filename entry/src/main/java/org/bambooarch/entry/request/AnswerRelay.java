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
final class AnswerRelay implements Subscriber<HttpData> {

  private static final long CHECK_MILLIS = 500;
  private static final int CHECKS_WITHOUT_PROGRESS = 60;

  private final HttpResponseWriter writer = HttpResponse.streaming();
  private final CompletableFuture<Boolean> ended = new CompletableFuture<>();
  private final String requestId;
  private final ResponseCheck check;
  private final BooleanSupplier mayContinue;
  private Subscription subscription;
  private volatile long parts;
  private volatile boolean waitsForTarget;
  private long partsAtLastCheck;
  private int checksWithoutProgress;

  private AnswerRelay(String requestId, ResponseCheck check, BooleanSupplier mayContinue) {
    this.requestId = requestId;
    this.check = check;
    this.mayContinue = mayContinue;
  }

  /**
   * Starts to pass an answer on.
   *
   * @param mayContinue asked while the answer streams; false cuts it
   */
  static AnswerRelay start(
      CallerRequest request,
      ResponseHeaders received,
      ResponseHeaders towardsCaller,
      SplitHttpResponse split,
      BooleanSupplier mayContinue) {
    ResponseCheck check = ResponseCheck.forRequest(request.requestId());
    check.onHeaders(request.requestId(), TargetExchange.lengthOf(received));
    AnswerRelay relay = new AnswerRelay(request.requestId(), check, mayContinue);
    relay.writer.write(towardsCaller);
    split.body().subscribe(relay);
    return relay;
  }

  /** Returns the answer for the caller. */
  HttpResponse response() {
    return writer;
  }

  /** Completes when the answer has ended: true if the whole of it was passed on. */
  CompletableFuture<Boolean> ended() {
    return ended;
  }

  @Override
  public void onSubscribe(Subscription given) {
    subscription = given;
    writer.whenComplete().exceptionally(this::onCallerGone);
    scheduleCheck();
    requestNext();
  }

  @Override
  public void onNext(HttpData part) {
    waitsForTarget = false;
    parts++;
    if (check.onData(part.length()) != ResponseCheck.Result.VALID) {
      part.close();
      cut("the answer is longer than declared");
      return;
    }
    if (!mayContinue.getAsBoolean()) {
      part.close();
      cut("the key is no longer valid");
      return;
    }
    if (!writer.tryWrite(part)) {
      subscription.cancel();
      ended.complete(false);
      return;
    }
    writer.whenConsumed().thenRun(this::requestNext);
  }

  @Override
  public void onError(Throwable cause) {
    writer.close(cause);
    ended.complete(false);
  }

  @Override
  public void onComplete() {
    if (check.onEnd() != ResponseCheck.Result.VALID) {
      cut("the answer is shorter than declared");
      return;
    }
    writer.close();
    ended.complete(true);
  }

  private void requestNext() {
    waitsForTarget = true;
    subscription.request(1);
  }

  private Void onCallerGone(Throwable cause) {
    subscription.cancel();
    ended.complete(false);
    return null;
  }

  private void cut(String reason) {
    subscription.cancel();
    writer.close(AbortedStreamException.get());
    Logger.warn("event=answer-cut requestId={} reason=\"{}\"", requestId, reason);
    ended.complete(false);
  }

  private void scheduleCheck() {
    CompletableFuture.delayedExecutor(CHECK_MILLIS, TimeUnit.MILLISECONDS).execute(this::inspect);
  }

  private void inspect() {
    if (ended.isDone()) {
      return;
    }
    Optional<String> reason = reasonToCut();
    if (reason.isPresent()) {
      cut(reason.get());
      return;
    }
    scheduleCheck();
  }

  private Optional<String> reasonToCut() {
    if (!mayContinue.getAsBoolean()) {
      return Optional.of("the key is no longer valid");
    }
    boolean progressed = parts != partsAtLastCheck || !waitsForTarget;
    partsAtLastCheck = parts;
    checksWithoutProgress = progressed ? 0 : checksWithoutProgress + 1;
    return checksWithoutProgress >= CHECKS_WITHOUT_PROGRESS
        ? Optional.of("the target makes no progress")
        : Optional.empty();
  }
}
