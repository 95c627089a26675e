package org.bambooarch.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.buffer.Unpooled;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.util.ArrayList;
import java.util.List;
import org.bambooarch.gateway.target.TargetRequestHandle;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

// Guards against a process that is out of memory when servers stop within hundreds of responses
// that
// are buffered until they are complete.
class ResponseBuffersTest {

  private static final int RESPONSES = 400;
  private static final int PART_BYTES = 20 * 1024;
  private static final int PARTS = 10;

  private final ResponseBuffers buffers = new ResponseBuffers();
  private final List<HttpResponseWriter> writers = new ArrayList<>();
  private long clientBytes;

  private BufferedResponseRelay relay(HttpResponseWriter writer) {
    writers.add(writer);
    return new BufferedResponseRelay(
        writer, ResponseHeaders.of(200), new TargetRequestHandle(), () -> false, buffers);
  }

  private static void sendParts(BufferedResponseRelay relay) {
    for (int i = 0; i < PARTS; i++) {
      relay.onBodyPart(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
    }
  }

  /** Returns a writer whose client takes what it gets at once. */
  private HttpResponseWriter writerToReadingClient() {
    HttpResponseWriter writer = HttpResponse.streaming();
    writer.subscribe(
        new Subscriber<HttpObject>() {
          @Override
          public void onSubscribe(Subscription subscription) {
            subscription.request(Long.MAX_VALUE);
          }

          @Override
          public void onNext(HttpObject object) {
            clientBytes += object instanceof HttpData data ? data.length() : 0;
          }

          @Override
          public void onError(Throwable cause) {
            throw new IllegalStateException(cause);
          }

          @Override
          public void onComplete() {}
        },
        ImmediateEventExecutor.INSTANCE);
    return writer;
  }

  @Test
  void should_hold_a_limited_number_of_bytes_when_hundreds_of_responses_stop_before_their_end() {
    for (int i = 0; i < RESPONSES; i++) {
      sendParts(relay(writerToReadingClient()));
    }

    long receivedBytes = (long) RESPONSES * PARTS * PART_BYTES;
    assertThat(receivedBytes - clientBytes)
        .isPositive()
        .isLessThanOrEqualTo(ResponseBuffers.MAX_BYTES);
  }

  @Test
  void should_buffer_a_response_again_when_those_before_it_have_ended() {
    List<BufferedResponseRelay> relays = new ArrayList<>();
    for (int i = 0; i < RESPONSES; i++) {
      relays.add(relay(writerToReadingClient()));
      sendParts(relays.getLast());
    }
    relays.forEach(BufferedResponseRelay::onComplete);

    BufferedResponseRelay next = relay(writerToReadingClient());
    sendParts(next);

    assertThat(next.hasStarted()).isFalse();
    assertThat(buffers.heldBytes()).isEqualTo(PARTS * PART_BYTES);
  }

  @Test
  void should_count_a_complete_response_until_its_client_has_taken_it_or_has_left() {
    BufferedResponseRelay relay = relay(HttpResponse.streaming());
    sendParts(relay);
    relay.onComplete();
    assertThat(buffers.heldBytes()).isEqualTo(PARTS * PART_BYTES);

    writers.getFirst().abort();

    assertThat(buffers.heldBytes()).isZero();
  }

  @Test
  void should_hold_nothing_when_the_clients_of_incomplete_responses_have_left() {
    for (int i = 0; i < RESPONSES; i++) {
      sendParts(relay(HttpResponse.streaming()));
    }
    writers.forEach(HttpResponseWriter::abort);

    assertThat(buffers.heldBytes()).isZero();
  }

  @Test
  void should_hold_nothing_when_parts_arrive_after_the_client_has_left() {
    BufferedResponseRelay relay = relay(HttpResponse.streaming());
    writers.getFirst().abort();
    sendParts(relay);

    assertThat(buffers.heldBytes()).isZero();
  }
}
