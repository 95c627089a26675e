package org.bambooarch.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpData;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscription;

class ClientRequestBodyTest {

  private static final int LONG_PART_BYTES = ClientRequestBody.MAX_BUFFERED_BYTES + 1;

  private final List<String> events = new ArrayList<>();
  private final ClientRequestBody body = new ClientRequestBody(new RecordingListener(), 1 << 20);
  private final List<Runnable> unconfirmedWrites = new ArrayList<>();
  private long requested;

  private final class RecordingListener implements ClientRequestBody.Listener {

    @Override
    public void onBodyReady() {
      events.add("ready");
    }

    @Override
    public void onBodyTooLarge() {
      events.add("too-large");
    }

    @Override
    public void onBodyReadFailed() {
      events.add("failed");
    }
  }

  /** A server's connection whose writes are confirmed by the test. */
  private final class RecordingSink implements ClientRequestBody.Sink {

    @Override
    public void writePart(ByteBuf part, Runnable written) {
      events.add("part " + part.readableBytes());
      part.release();
      unconfirmedWrites.add(written);
    }

    @Override
    public void end() {
      events.add("end");
    }
  }

  private void subscribe() {
    body.onSubscribe(
        new Subscription() {
          @Override
          public void request(long count) {
            requested += count;
          }

          @Override
          public void cancel() {}
        });
  }

  private void receive(int bytes) {
    assertThat(requested).isPositive();
    requested--;
    body.onNext(HttpData.wrap(new byte[bytes]));
  }

  private void confirmWrite() {
    unconfirmedWrites.removeFirst().run();
  }

  // Regression: the end of a body in chunks that came after its last part was written never reached
  // the server.
  @Test
  void should_end_a_streamed_body_when_its_end_arrives_after_the_last_part_was_written() {
    subscribe();
    receive(LONG_PART_BYTES);
    body.streamTo(new RecordingSink());
    confirmWrite();
    receive(10);
    confirmWrite();
    body.onComplete();

    assertThat(events).containsExactly("ready", "part " + LONG_PART_BYTES, "part 10", "end");
  }

  @Test
  void should_end_a_streamed_body_when_its_end_arrives_before_the_last_part_was_written() {
    subscribe();
    receive(LONG_PART_BYTES);
    body.streamTo(new RecordingSink());
    body.onComplete();
    assertThat(events).doesNotContain("end");

    confirmWrite();
    assertThat(events).containsExactly("ready", "part " + LONG_PART_BYTES, "end");
  }

  @Test
  void should_end_a_streamed_body_when_it_was_complete_before_a_server_was_chosen() {
    subscribe();
    receive(LONG_PART_BYTES);
    body.onComplete();
    body.streamTo(new RecordingSink());
    confirmWrite();

    assertThat(events).containsExactly("ready", "part " + LONG_PART_BYTES, "end");
  }

  @Test
  void should_read_no_further_part_before_the_last_one_is_written() {
    subscribe();
    receive(LONG_PART_BYTES);
    body.streamTo(new RecordingSink());
    assertThat(requested).isZero();

    confirmWrite();
    assertThat(requested).isEqualTo(1);
  }
}
