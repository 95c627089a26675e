package org.bambooarch.gateway.request;

import static org.assertj.core.api.Assertions.assertThatCode;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.buffer.Unpooled;
import org.bambooarch.gateway.target.TargetRequestHandle;
import org.junit.jupiter.api.Test;

class BufferedResponseRelayTest {

  private final HttpResponseWriter writer = HttpResponse.streaming();
  private final BufferedResponseRelay relay =
      new BufferedResponseRelay(
          writer,
          ResponseHeaders.of(200),
          new TargetRequestHandle(),
          () -> false,
          new ResponseBuffers());

  @Test
  void should_drop_a_short_response_when_the_client_has_left() {
    relay.onBodyPart(Unpooled.wrappedBuffer(new byte[10]));
    writer.abort();

    assertThatCode(relay::onComplete).doesNotThrowAnyException();
  }

  @Test
  void should_drop_the_first_part_of_a_long_response_when_the_client_has_left() {
    writer.abort();

    assertThatCode(
            () ->
                relay.onBodyPart(
                    Unpooled.wrappedBuffer(new byte[BufferedResponseRelay.MAX_BUFFERED_BYTES + 1])))
        .doesNotThrowAnyException();
  }
}
