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
import org.bambooarch.gateway.spi.RequestFormat;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that break a response off within its head and write another one behind it. */
class JoinedHeadTest {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nTrace: a7\r\nId: own\r\nSeal: 3e1b.07.5a2\r\nServed-By: b 8\r\n"
          + "Content-Length: 3\r\n\r\n";

  /** Behind a single character, the other response is decoded as it is, with its own id. */
  private static final int MIN_BEGINNING = 2;

  private static final int CHARACTERS_THROUGH_ID = HEAD.indexOf("own") + "own".length();

  /** Remembers the status of each head that is passed on. */
  private static final class HeadListener implements TargetResponseListener {
    private final List<Integer> statuses = new ArrayList<>();

    @Override
    public void onUnreachable(boolean refused) {}

    @Override
    public void onSending() {}

    @Override
    public void onResponseHead(HttpResponse head, ServerResponseHeaders headers) {
      statuses.add(head.status().code());
    }

    @Override
    public void onBodyPart(ByteBuf part) {
      part.release();
    }

    @Override
    public void onComplete() {}

    @Override
    public void onConnectionLost(String reason) {}
  }

  /** Returns the status of each head that is passed on if a server sends these bytes. */
  private static List<Integer> statusesPassedOn(String bytes) {
    EmbeddedChannel channel = new EmbeddedChannel();
    RequestFormat format = new ResponseIdFormat();
    TargetConnectionPool pool =
        new TargetConnectionPool(
            new InetSocketAddress(0),
            format,
            channel.eventLoop(),
            ManualClock.startingAtZero(),
            1_000,
            new TargetConnectionPool.Observer() {});
    TargetConnection connection = new TargetConnection(pool, format, ManualClock.startingAtZero());
    channel
        .pipeline()
        .addLast(
            new ReceivedBytesFilter(connection),
            connection.decoder(),
            new HttpRequestEncoder(),
            connection);
    HeadListener listener = new HeadListener();
    connection.send(
        new TargetRequest(
            "POST", "/", new DefaultHttpHeaders(), "own", false, Optional.of(new byte[0]), -1),
        listener);
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
    channel.finishAndReleaseAll();
    return listener.statuses;
  }

  /** Returns the beginnings of the head behind which the other response is passed on. */
  private static List<String> beginningsPassedOn(int minLength, String other) {
    List<String> beginnings = new ArrayList<>();
    for (int length = minLength; length < HEAD.length(); length++) {
      String beginning = HEAD.substring(0, length);
      if (!statusesPassedOn(beginning + other).isEmpty()) {
        beginnings.add(beginning);
      }
    }
    return beginnings;
  }

  // Regression: a client got the body of another client's response, with the status of its own.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nTrace: a9\r\nId: other\r\nSeal: 77\r\nContent-Length: 3\r\n\r\ntwo",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nSeal: 77\r\nId: other\r\n\r\ntwo",
        "HTTP/1.1 200 OK\r\nID: other\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n",
        "HTTP/1.0 200\r\nId: other\r\n\r\ntwo",
        "HTTP/1.1 500 X\r\nId: other\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 X\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId:\r\nContent-Length: 3\r\n\r\ntwo",
        "HTTP/1.1 500 X\r\nId: own\r\nContent-Length: 0\r\n\r\n",
      })
  void should_pass_no_head_on_when_another_response_follows_its_beginning(String other) {
    assertThat(beginningsPassedOn(MIN_BEGINNING, other)).isEmpty();
  }

  // Regression: the same with a response that names no request, such as that to a health check.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nInstance: i-1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 400 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
      })
  void should_pass_no_head_on_when_a_response_without_id_follows_within_a_word(String other) {
    // The other places are known red, see below.
    assertThat(beginningsPassedOn(CHARACTERS_THROUGH_ID, other))
        .allSatisfy(beginning -> assertThat(beginning).matches("(?s).*[ :]"));
  }

  // Such a head can't be told from a complete one whose server states a status line in the value.
  @ParameterizedTest
  @Tag("known-red")
  @ValueSource(strings = {"Seal:", "Seal: ", "Served-By: b "})
  void should_pass_no_head_on_when_a_response_without_id_follows_between_words(String field) {
    String beginning = HEAD.substring(0, HEAD.indexOf(field) + field.length());
    String other = "HTTP/1.1 200 OK\r\nInstance: i-1\r\nContent-Length: 2\r\n\r\nok";
    assertThat(statusesPassedOn(beginning + other)).isEmpty();
  }

  // A complete response with a header that states a status line is no joined one.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Via: HTTP/1.1 192.168.0.7:3128",
        "Upstream-Status: HTTP/1.1 200 OK",
        "Upstream-Status: HTTP/1.1 502 X\r\nUpstream-Status: HTTP/1.1 200 OK",
        "Log: (HTTP/1.1 200 OK)",
        "Log: status=\"HTTP/1.1 200 OK\"",
        "Echo: GET /a HTTP/1.1 200",
        "Echo: GET /a HTTP/1.1 200\r\nSet-Cookie: a\r\nSet-Cookie: b",
      })
  void should_pass_a_head_on_when_a_value_states_a_status_line(String fields) {
    assertThat(statusesPassedOn(HEAD.replace("Served-By: b 8", fields) + "one"))
        .containsExactly(200);
  }

  @Test
  void should_pass_a_head_on_when_it_is_complete() {
    assertThat(statusesPassedOn(HEAD + "one")).containsExactly(200);
  }
}
