package org.bambooarch.entry.request;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import java.io.ByteArrayOutputStream;
import java.io.Serial;
import java.util.concurrent.CompletableFuture;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Collects the body of a request up to a limit. */
final class BodyCollector implements Subscriber<HttpObject> {

  /** The body is longer than the limit. */
  static final class TooLargeException extends Exception {
    @Serial private static final long serialVersionUID = 1L;
  }

  private final CompletableFuture<byte[]> whole = new CompletableFuture<>();
  private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
  private final int limitBytes;
  private Subscription subscription;

  private BodyCollector(int limitBytes) {
    this.limitBytes = limitBytes;
  }

  static CompletableFuture<byte[]> collect(HttpRequest request, int limitBytes) {
    BodyCollector collector = new BodyCollector(limitBytes);
    request.subscribe(collector);
    return collector.whole;
  }

  @Override
  public void onSubscribe(Subscription given) {
    subscription = given;
    given.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(HttpObject part) {
    // Trailers are not passed on: they could carry headers past the checks.
    if (!(part instanceof HttpData data)) {
      return;
    }
    if (collected.size() + data.length() > limitBytes) {
      subscription.cancel();
      whole.completeExceptionally(new TooLargeException());
      return;
    }
    collected.writeBytes(data.array());
  }

  @Override
  public void onError(Throwable cause) {
    whole.completeExceptionally(cause);
  }

  @Override
  public void onComplete() {
    whole.complete(collected.toByteArray());
  }
}
