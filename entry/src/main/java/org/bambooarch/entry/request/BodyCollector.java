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

  private final CompletableFuture<byte[]> body = new CompletableFuture<>();
  private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
  private final int maxBytes;
  private Subscription subscription;

  private BodyCollector(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  static CompletableFuture<byte[]> collect(HttpRequest request, int maxBytes) {
    BodyCollector collector = new BodyCollector(maxBytes);
    request.subscribe(collector);
    return collector.body;
  }

  @Override
  public void onSubscribe(Subscription newSubscription) {
    subscription = newSubscription;
    newSubscription.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(HttpObject message) {
    // Trailers are not passed on: they could carry headers past the checks.
    if (!(message instanceof HttpData data)) {
      return;
    }
    if (collected.size() + data.length() > maxBytes) {
      subscription.cancel();
      body.completeExceptionally(new TooLargeException());
      return;
    }
    collected.writeBytes(data.array());
  }

  @Override
  public void onError(Throwable cause) {
    body.completeExceptionally(cause);
  }

  @Override
  public void onComplete() {
    body.complete(collected.toByteArray());
  }
}
