package org.bambooarch.cli.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import com.linecorp.armeria.common.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.bambooarch.cli.http.CallersClient.ClientRequest;
import org.bambooarch.store.InstanceRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.FieldSource;

/** An instance in trouble, whose malformed responses the command line must not take for answers. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class MalformedInstanceResponseTest {

  private static final String UNSUPPORTED_PREFACE =
      "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

  static final String[] MALFORMED_HEADS = {
    "HTTP/1.1 200 OK\r\nx y: z\r\ncontent-length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nx\u0001y: z\r\ncontent-length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\ncontent-length x: 2\r\n\r\n{}, more",
    "HTTP/1.1 0200 OK\r\ncontent-length: 2\r\n\r\n{}",
    "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\n{}"
  };

  private ServerSocket listener;

  @BeforeEach
  void start() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
  }

  /**
   * Responds to the first request of each connection, and ends the connection.
   *
   * @param reset whether with a TCP reset
   */
  private void respondWith(String response, boolean reset) {
    Thread.startVirtualThread(
        () -> {
          try {
            while (true) {
              respond(listener.accept(), response, reset);
            }
          } catch (IOException e) {
            // The test has ended.
            return;
          }
        });
  }

  private static void respond(Socket accepted, String response, boolean reset) throws IOException {
    try (Socket socket = accepted) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String requestLine = in.readLine();
      String line = requestLine;
      while (line != null && !line.isEmpty()) {
        line = in.readLine();
      }
      boolean isPreface = requestLine != null && requestLine.endsWith("HTTP/2.0");
      String text = isPreface ? UNSUPPORTED_PREFACE : response;
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      if (reset && !isPreface) {
        socket.setSoLinger(true, 0);
      }
    }
  }

  private OperatorsClient operatorsClient() {
    return OperatorsClient.of(
        new InstanceRecord("a", "kochi-a", "127.0.0.1", 0, 0, listener.getLocalPort(), false));
  }

  private String uri() {
    return "http://127.0.0.1:" + listener.getLocalPort();
  }

  @ParameterizedTest
  @FieldSource("MALFORMED_HEADS")
  void should_have_no_answer_from_an_instance_when_the_head_is_malformed(String response) {
    respondWith(response, false);

    assertThat(operatorsClient().dump()).isEmpty();
    assertThat(operatorsClient().isReady()).isEmpty();
    assertThat(operatorsClient().versionInForce()).isEmpty();
  }

  @ParameterizedTest
  @FieldSource("MALFORMED_HEADS")
  void should_fail_a_request_when_the_head_is_malformed(String response) {
    respondWith(response, false);

    assertThatExceptionOfType(IOException.class)
        .isThrownBy(
            () ->
                CallersClient.send(
                    CallersClient.webClient(uri()),
                    new ClientRequest(HttpMethod.GET, "/orders/1", "", "", "")));
  }

  @Test
  void should_have_no_answer_from_an_instance_when_it_resets_a_response_without_a_length() {
    respondWith("HTTP/1.1 200 OK\r\n\r\n{}", true);

    assertThat(operatorsClient().dump()).isEmpty();
  }

  @Test
  void should_have_an_answer_without_a_length_from_an_instance_when_it_ends_its_output() {
    respondWith("HTTP/1.1 200 OK\r\n\r\n{}", false);

    assertThat(operatorsClient().dump()).hasValue("{}");
  }
}
