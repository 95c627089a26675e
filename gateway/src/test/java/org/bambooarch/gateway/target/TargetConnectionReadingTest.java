package org.bambooarch.gateway.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.spi.RequestFormat;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When a connection to a server is read, and how what was read is passed on. */
class TargetConnectionReadingTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  private static final String CHUNK = "1\r\nx\r\n";
  private static final String END = "0\r\n\r\n";
  private static final int CHUNKS_PER_READ = 2_000;

  private final ManualClock clock = ManualClock.startingAtZero();
  private final RequestFormat format = new ResponseIdFormat();
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final TargetConnectionPool pool =
      new TargetConnectionPool(
          new InetSocketAddress(0),
          format,
          channel.eventLoop(),
          clock,
          1_000,
          new TargetConnectionPool.Observer() {});
  private final TargetConnection connection = new TargetConnection(pool, format, clock);
  private final RecordingListener listener = new RecordingListener();

  /** Records the parts of a response. */
  private static final class RecordingListener implements TargetResponseListener {
    private final List<String> parts = new ArrayList<>();
    private boolean complete;

    @Override
    public void onUnreachable(boolean refused) {}

    @Override
    public void onSending() {}

    @Override
    public void onResponseHead(HttpResponse head, ServerResponseHeaders headers) {}

    @Override
    public void onBodyPart(ByteBuf part) {
      parts.add(new String(ByteBufUtil.getBytes(part), StandardCharsets.US_ASCII));
      part.release();
    }

    @Override
    public void onComplete() {
      complete = true;
    }

    @Override
    public void onConnectionLost(String reason) {
      parts.add("lost: " + reason);
    }
  }

  private void sendRequest() {
    send(Optional.of(new byte[0]));
  }

  private void sendStreamedRequest() {
    send(Optional.empty());
  }

  private void send(Optional<byte[]> body) {
    channel.freezeTime();
    channel
        .pipeline()
        .addLast(
            new ReceivedBytesFilter(connection),
            connection.decoder(),
            new HttpRequestEncoder(),
            connection);
    connection.send(
        new TargetRequest("POST", "/", new DefaultHttpHeaders(), "", true, body, -1), listener);
  }

  private void receive(String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
  }

  private void advance(long millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  // Regression: each chunk became a write of its own to the client, so that one server kept the
  // event loop from all other requests.
  @Test
  void should_pass_the_chunks_of_one_read_on_as_one_part() {
    sendRequest();
    receive(HEAD + CHUNK.repeat(CHUNKS_PER_READ));
    receive(CHUNK.repeat(3) + END);

    assertThat(listener.parts).containsExactly("x".repeat(CHUNKS_PER_READ), "xxx");
    assertThat(listener.complete).isTrue();
  }

  // Regression: reading went on at once whatever the chunks of a read cost to decode.
  @Test
  void should_pause_reading_when_a_read_has_very_many_chunks() {
    sendRequest();
    receive(HEAD + CHUNK.repeat(CHUNKS_PER_READ));

    assertThat(channel.config().isAutoRead()).isFalse();
    advance(1_000);
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  @Test
  void should_not_pause_reading_when_a_read_has_few_chunks() {
    sendRequest();
    receive(HEAD + CHUNK.repeat(100));

    assertThat(channel.config().isAutoRead()).isTrue();
  }

  @Test
  void should_not_pause_reading_when_the_response_has_ended() {
    sendRequest();
    receive(HEAD + CHUNK.repeat(CHUNKS_PER_READ) + END);

    assertThat(channel.config().isAutoRead()).isTrue();
  }

  @Test
  void should_not_read_on_after_a_pause_while_the_client_does_not_read() {
    sendRequest();
    receive(HEAD + CHUNK.repeat(CHUNKS_PER_READ));
    connection.setAutoRead(false);
    advance(1_000);
    assertThat(channel.config().isAutoRead()).isFalse();

    connection.setAutoRead(true);
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  // Regression: a connection went back to the pool with reading switched off, and the response to
  // the next request on it was not read.
  @Test
  void should_read_for_the_next_request_when_the_client_paused_at_the_end_of_the_last_response() {
    sendRequest();
    receive("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfirst");
    connection.setAutoRead(false);
    receive("later");

    assertThat(listener.complete).isTrue();
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  @Test
  void should_discard_the_chunks_of_a_read_when_the_connection_is_reset_within_it() {
    sendRequest();
    receive(HEAD);
    channel.pipeline().fireChannelRead(Unpooled.copiedBuffer(CHUNK, StandardCharsets.US_ASCII));
    channel.pipeline().fireExceptionCaught(new java.io.IOException("reset"));

    assertThat(listener.parts).containsExactly("lost: java.io.IOException: reset");
  }

  // Regression: a response without a length was complete when this side closed the connection.
  @Test
  void should_fail_a_response_without_a_length_when_the_connection_is_closed_on_this_side() {
    sendRequest();
    receive("HTTP/1.1 200 OK\r\n\r\npart");
    connection.close();

    assertThat(listener.complete).isFalse();
    assertThat(listener.parts)
        .last()
        .isEqualTo("lost: the connection failed before the response was complete");
  }

  @ParameterizedTest
  @CsvSource({
    "'HTTP/1.1 200 OK\r\nx y: z\r\n\r\n', found byte 0x20",
    "'HTTP/1.1 200 OK\r\nx\u0001: z\r\n\r\n', found byte 0x01",
    "'HTTP/1.1 0\"0 OK\r\n\r\n', found 0?0"
  })
  void should_tell_what_was_found_in_a_malformed_head(String head, String found) {
    sendRequest();
    receive(head);

    assertThat(listener.parts).singleElement().asString().startsWith("lost: ").endsWith(found);
    assertThat(channel.isActive()).isFalse();
  }

  private void endOutputOfServer() {
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
  }

  // A server that is killed with nothing unread ends its output regularly, and resets the
  // connection when more of the request arrives.
  @Test
  void should_fail_a_response_without_a_length_when_the_rest_of_its_request_can_not_be_sent() {
    sendStreamedRequest();
    receive("HTTP/1.1 200 OK\r\n\r\npart");
    endOutputOfServer();
    assertThat(listener.complete).isFalse();
    channel.close();

    assertThat(listener.complete).isFalse();
    assertThat(listener.parts)
        .last()
        .isEqualTo("lost: the server closed the connection before the request was sent");
  }

  @Test
  void should_complete_a_response_without_a_length_when_the_rest_of_its_request_is_sent() {
    sendStreamedRequest();
    receive("HTTP/1.1 200 OK\r\n\r\nwhole");
    endOutputOfServer();
    connection.endBody();

    assertThat(listener.complete).isTrue();
    assertThat(listener.parts).containsExactly("whole");
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void should_complete_a_response_without_a_length_when_nothing_more_of_its_request_comes() {
    sendStreamedRequest();
    receive("HTTP/1.1 200 OK\r\n\r\nwhole");
    endOutputOfServer();
    advance(1_000);

    assertThat(listener.complete).isTrue();
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void should_complete_a_response_without_a_length_at_once_when_its_request_is_sent() {
    sendRequest();
    receive("HTTP/1.1 200 OK\r\n\r\nwhole");
    endOutputOfServer();

    assertThat(listener.complete).isTrue();
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void should_fail_a_response_with_a_length_at_once_when_the_output_ends_before_it() {
    sendStreamedRequest();
    receive("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart");
    endOutputOfServer();

    assertThat(listener.parts)
        .last()
        .isEqualTo("lost: the server closed the connection before the response was complete");
    assertThat(channel.isActive()).isFalse();
  }
}
