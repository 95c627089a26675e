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
 * The body of a client's request.
 *
 * <p>A short body is buffered in full, so that the request can be retried. Of a body that exceeds
 * the buffer only the beginning is buffered; the rest is streamed to one server, and is read from
 * the client as fast as the server accepts it.
 *
 * <p>Used on the event loop only.
 */
public final class ClientRequestBody implements Subscriber<HttpObject> {

  /**
   * Longest body that is buffered in full, in bytes. At this size, memory suffices for some hundred
   * buffered bodies besides the rest of the heap.
   */
  public static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** Receives the events of a body. All methods are called on the event loop. */
  public interface Listener {

    /**
     * The body is complete and buffered, or has exceeded the buffer and must be streamed. Called
     * once at most.
     */
    void onBodyReady();

    /** The body exceeds the limit for request bodies; reading it has stopped. */
    void onBodyTooLarge();

    /** The client disconnected, or the body failed otherwise, before the body was complete. */
    void onBodyReadFailed();
  }

  /** Destination of a body that is streamed. */
  public interface Sink {

    /**
     * Writes a part of the body.
     *
     * @param part the part; the sink must release it
     * @param written called when the next part may be written
     */
    void writePart(ByteBuf part, Runnable written);

    /** Marks the end of the body. */
    void end();
  }

  private final Listener listener;
  private final long maxBytes;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private Subscription subscription;
  private Sink sink;
  private boolean writing;
  private boolean complete;
  private boolean exceedsBuffer;
  private boolean stopped;
  private long receivedBytes;

  /** Creates a body that fails once it exceeds {@code maxBytes}. */
  public ClientRequestBody(Listener listener, long maxBytes) {
    this.listener = listener;
    this.maxBytes = maxBytes;
  }

  /** Returns the full body, or empty if it exceeded the buffer or is not complete yet. */
  public Optional<byte[]> bufferedBody() {
    return complete && !exceedsBuffer ? Optional.of(buffer.toByteArray()) : Optional.empty();
  }

  /**
   * Starts to stream a body that exceeded the buffer, from its beginning. May be called once only,
   * since the parts that follow are not kept.
   */
  public void streamTo(Sink newSink) {
    sink = newSink;
    writePart(buffer.toByteArray());
  }

  private void writePart(byte[] bytes) {
    writing = true;
    sink.writePart(Unpooled.wrappedBuffer(bytes), this::onPartWritten);
  }

  private void onPartWritten() {
    writing = false;
    requestNext();
  }

  /** Stops reading the body: no further data is requested, and no further error is reported. */
  public void stop() {
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
      writePart(bytes);
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
    if (!exceedsBuffer) {
      listener.onBodyReady();
    } else if (sink != null && !writing) {
      sink.end();
    }
  }

  @Override
  public void onError(Throwable cause) {
    if (!stopped) {
      listener.onBodyReadFailed();
    }
  }
}
