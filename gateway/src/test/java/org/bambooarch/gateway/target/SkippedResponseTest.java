package org.bambooarch.gateway.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.bambooarch.gateway.target.SkippedResponse.Reason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What is reported of responses that are passed on to no request. */
class SkippedResponseTest {

  private final ManualClock clock = ManualClock.startingAtZero();
  private final List<SkippedResponse> skipped = new ArrayList<>();
  private final List<ConnectionUse> uses = new ArrayList<>();
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final TargetConnection connection = connectionOver(channel);

  private final class RecordingListener implements TargetResponseListener {

    @Override
    public void onUnreachable(boolean refused) {}

    @Override
    public void onConnection(ConnectionUse use) {
      uses.add(use);
    }

    @Override
    public void onSending() {}

    @Override
    public void onResponseHead(HttpResponse head, ServerResponseHeaders headers) {}

    @Override
    public void onBodyPart(ByteBuf part) {
      part.release();
    }

    @Override
    public void onComplete() {}

    @Override
    public void onConnectionLost(String reason) {}
  }

  private TargetConnection connectionOver(EmbeddedChannel newChannel) {
    ResponseIdFormat format = new ResponseIdFormat();
    TargetConnectionPool.Observer observer =
        new TargetConnectionPool.Observer() {
          @Override
          public void onResponseSkipped(SkippedResponse response) {
            skipped.add(response);
          }
        };
    TargetConnectionPool pool =
        new TargetConnectionPool(
            new InetSocketAddress(0), format, newChannel.eventLoop(), clock, 1_000, observer);
    TargetConnection created = new TargetConnection(pool, format, clock);
    newChannel
        .pipeline()
        .addLast(
            new ReceivedBytesFilter(created), created.decoder(), new HttpRequestEncoder(), created);
    return created;
  }

  private void send(TargetConnection over, String id) {
    over.send(
        new TargetRequest(
            "GET", "/", new DefaultHttpHeaders(), id, true, Optional.of(new byte[0]), 0),
        new RecordingListener());
  }

  private void receive(String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
  }

  private static String response(int status, String id) {
    return "HTTP/1.1 %d x\r\nid: %s\r\ncontent-length: 1\r\n\r\nx".formatted(status, id);
  }

  private SkippedResponse onlySkipped() {
    assertThat(skipped).hasSize(1);
    return skipped.getFirst();
  }

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  // Regression: a skipped response left no trace of the request that it names.
  @Test
  void should_name_both_requests_when_a_response_of_another_request_is_skipped() {
    send(connection, "r1");
    receive(response(200, "r1"));
    send(connection, "r2");
    receive(response(500, "r1"));

    assertThat(onlySkipped())
        .isEqualTo(new SkippedResponse(uses.get(1), Reason.OTHER_REQUEST, "r1", 500, "r2"));
    assertThat(uses.get(1).order()).isEqualTo(2);
    assertThat(uses.get(1).connection().skippedResponses()).isEqualTo(1);
  }

  // Regression: the connection was closed without a trace of what had arrived on it.
  @Test
  void should_tell_a_second_response_when_it_arrives_while_no_request_is_in_progress() {
    send(connection, "r1");
    receive(response(200, "r1"));
    receive(response(500, "r1"));

    assertThat(onlySkipped())
        .isEqualTo(new SkippedResponse(uses.getFirst(), Reason.SECOND_RESPONSE, "r1", 500, ""));
    assertThat(channel.isActive()).isFalse();
  }

  @Test
  void should_tell_a_second_response_when_it_arrives_in_one_read_with_the_first() {
    send(connection, "r1");
    receive(response(200, "r1") + response(500, "r1"));

    assertThat(skipped)
        .containsExactly(
            new SkippedResponse(uses.getFirst(), Reason.BYTES_BEHIND_RESPONSE, "", 0, "r1"),
            new SkippedResponse(uses.getFirst(), Reason.SECOND_RESPONSE, "r1", 500, ""));
    assertThat(channel.isActive()).isFalse();
  }

  // Regression: a server that ends its responses with a line break lost its connection each time.
  @Test
  void should_keep_the_connection_when_line_breaks_follow_a_response() {
    send(connection, "r1");
    receive(response(200, "r1") + "\r\n\r\n");

    assertThat(skipped).isEmpty();
    assertThat(channel.isActive()).isTrue();
  }

  @Test
  void should_name_the_received_id_when_a_response_arrives_before_any_request() {
    receive(response(404, "r7"));

    assertThat(onlySkipped().reason()).isEqualTo(Reason.NO_REQUEST);
    assertThat(onlySkipped().receivedId()).isEqualTo("r7");
    assertThat(onlySkipped().status()).isEqualTo(404);
    assertThat(onlySkipped().use().order()).isZero();
  }

  @Test
  void should_report_no_status_when_the_bytes_are_not_a_response() {
    receive("HTTP/1.1 2");

    assertThat(onlySkipped().reason()).isEqualTo(Reason.NO_REQUEST);
    assertThat(onlySkipped().receivedId()).isEmpty();
    assertThat(onlySkipped().status()).isZero();
  }

  @Test
  void should_give_each_connection_a_number_of_its_own() {
    EmbeddedChannel otherChannel = new EmbeddedChannel();
    send(connection, "r1");
    send(connectionOver(otherChannel), "r2");

    assertThat(uses.get(0).connection().number()).isNotEqualTo(uses.get(1).connection().number());
    otherChannel.finishAndReleaseAll();
  }
}
