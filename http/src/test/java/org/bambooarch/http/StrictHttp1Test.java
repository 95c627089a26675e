package org.bambooarch.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When a connection of a client is closed because of what the server sends. */
class StrictHttp1Test {

  private static final String RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

  private final EmbeddedChannel channel = new EmbeddedChannel();

  @BeforeEach
  void sendRequest() {
    channel.pipeline().addLast(new HttpClientCodec());
    StrictHttp1.prepare(channel.pipeline());
    channel.pipeline().fireChannelActive();
    channel.writeOutbound(
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER));
  }

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  private void receive(String bytes) {
    ByteBuf buffer = Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII);
    channel.writeInbound(buffer);
  }

  private List<Integer> receivedStatuses() {
    List<Integer> statuses = new ArrayList<>();
    for (Object object = channel.readInbound(); object != null; object = channel.readInbound()) {
      if (object instanceof HttpResponse head) {
        statuses.add(head.status().code());
      }
      ReferenceCountUtil.release(object);
    }
    return statuses;
  }

  // Regression: bytes behind a response were decoded as the beginning of the next one.
  @ParameterizedTest
  @ValueSource(strings = {"x", "HTTP/1.1 200 OK\r\nx-a: "})
  void should_close_the_connection_when_bytes_follow_a_response(String bytes) {
    receive(RESPONSE + bytes);

    assertThat(receivedStatuses()).containsExactly(200);
    assertThat(channel.isActive()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "\r\n"})
  void should_keep_the_connection_when_nothing_or_a_line_break_follows_a_response(String bytes) {
    receive(RESPONSE + bytes);

    assertThat(receivedStatuses()).containsExactly(200);
    assertThat(channel.isActive()).isTrue();
  }

  @Test
  void should_keep_the_connection_when_the_response_follows_an_interim_one_in_two_reads() {
    receive("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200");
    assertThat(channel.isActive()).isTrue();
    receive(RESPONSE.substring("HTTP/1.1 200".length()));

    assertThat(receivedStatuses()).containsExactly(103, 200);
    assertThat(channel.isActive()).isTrue();
  }
}
