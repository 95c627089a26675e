package org.bambooarch.store.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bambooarch.store.NotAppliedException;
import org.bambooarch.store.UnknownOutcomeException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A platform in trouble, whose malformed responses must not count as answers to calls. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class MalformedPlatformResponseTest {

  private ServerSocket listener;
  private HttpPlatformClient client;

  @BeforeEach
  void start() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    client =
        HttpPlatformClient.create(
            "h1c://127.0.0.1:" + listener.getLocalPort(), Duration.ofSeconds(10));
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
  }

  private enum End {
    CLOSED,
    RESET
  }

  /** Responds to the first request of each connection, and ends the connection. */
  private void respondWith(String response, End end) {
    Thread.startVirtualThread(
        () -> {
          try {
            while (true) {
              respond(listener.accept(), response, end);
            }
          } catch (IOException e) {
            // The test has ended.
            return;
          }
        });
  }

  private static void respond(Socket accepted, String response, End end) throws IOException {
    try (Socket socket = accepted) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String line = in.readLine();
      while (line != null && !line.isEmpty()) {
        line = in.readLine();
      }
      socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      if (end == End.RESET) {
        socket.setSoLinger(true, 0);
      }
    }
  }

  // A write counted as made, or as refused.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nx y: z\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx\u0001y: z\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 X\r\nx y: z\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 0200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 0503 X\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 000 X\r\ncontent-length: 0\r\n\r\n"
      })
  void should_not_know_whether_a_write_took_effect_when_the_response_is_malformed(String response) {
    respondWith(response, End.CLOSED);

    assertThatExceptionOfType(UnknownOutcomeException.class)
        .isThrownBy(() -> client.put("name", new byte[0]));
  }

  // An object counted as missing.
  @ParameterizedTest
  @ValueSource(strings = {"0404 X\r\n", "404 X\r\nx y: z\r\n"})
  void should_fail_a_read_when_a_malformed_response_states_that_there_is_no_object(String head) {
    respondWith("HTTP/1.1 " + head + "content-length: 0\r\n\r\n", End.CLOSED);

    assertThatExceptionOfType(NotAppliedException.class).isThrownBy(() -> client.get("name"));
  }

  // The part was read as the whole object.
  @Test
  void should_fail_a_read_when_the_connection_is_reset_within_an_object_without_a_length() {
    respondWith("HTTP/1.1 200 OK\r\n\r\npart", End.RESET);

    assertThatExceptionOfType(NotAppliedException.class).isThrownBy(() -> client.get("name"));
  }

  @Test
  void should_read_an_object_without_a_length_when_the_platform_ends_its_output() throws Exception {
    respondWith("HTTP/1.1 200 OK\r\n\r\nwhole", End.CLOSED);

    assertThat(client.get("name")).hasValue("whole".getBytes(StandardCharsets.US_ASCII));
  }
}
