package org.bambooarch.gateway.request;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * The body of a caller's request.
 *
 * <p>A short body is collected, so that it can be sent again. Of a long one only the beginning is
 * held; the rest is read as fast as the server takes it.
 */
final class ClientRequestBody implements Subscriber<HttpObject> {

  /** Longest body that is collected, in bytes: some hundred of them fit beside the heap. */
  static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** Hears of the body; all calls come on the event loop. */
  interface Listener {

    /** The body is collected in full, or has proved long. */
    void onBodyReady();

    /** The body is longer than the limit. */
    void onBodyTooLarge();

    /** The caller left before the body was in. */
    void onBodyReadFailed();
  }

  /** Takes the parts of a long body. */
  interface Sink {

    /** Takes a part and runs the call-back when there is room for the next. */
    void writePart(ByteBuf part, Runnable written);

    /** Takes the end of the body. */
    void end();
  }

  private final Listener listener;
  private final long maxBytes;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private Subscription subscription;
  private Sink sink;
  private boolean complete;
  private boolean exceedsBuffer;
  private boolean stopped;
  private long receivedBytes;

  ClientRequestBody(Listener listener, long maxBytes) {
    this.listener = listener;
    this.maxBytes = maxBytes;
  }

  /** Returns the whole body if it is short. */
  Optional<byte[]> bufferedBody() {
    return complete && !exceedsBuffer ? Optional.of(buffer.toByteArray()) : Optional.empty();
  }

  /** Starts to hand a long body to a server, from its beginning. */
  void streamTo(Sink newSink) {
    sink = newSink;
    sink.writePart(Unpooled.wrappedBuffer(buffer.toByteArray()), this::requestNext);
  }

  /** Stops reading; whatever still comes is dropped. */
  void stop() {
    stopped = true;
    if (subscription != null) {
      subscription.cancel();
    }
  }

  @Override
  public void onSubscribe(Subscription newSubscription) {
    subscription = newSubscription;
    requestNext();
  }

  private void requestNext() {
    if (complete) {
      sink.end();
      return;
    }
    if (!stopped) {
      subscription.request(1);
    }
  }

  @Override
  public void onNext(HttpObject object) {
    if (!(object instanceof HttpData data)) {
      subscription.request(1);
      return;
    }
    byte[] bytes = data.array();
    receivedBytes += bytes.length;
    if (receivedBytes > maxBytes) {
      stop();
      listener.onBodyTooLarge();
      return;
    }
    if (sink != null) {
      sink.writePart(Unpooled.wrappedBuffer(bytes), this::requestNext);
      return;
    }
    buffer.writeBytes(bytes);
    if (buffer.size() > MAX_BUFFERED_BYTES) {
      exceedsBuffer = true;
      listener.onBodyReady();
      return;
    }
    subscription.request(1);
  }

  @Override
  public void onComplete() {
    complete = true;
    if (exceedsBuffer) {
      return;
    }
    listener.onBodyReady();
  }

  @Override
  public void onError(Throwable cause) {
    if (!stopped) {
      listener.onBodyReadFailed();
    }
  }
}
