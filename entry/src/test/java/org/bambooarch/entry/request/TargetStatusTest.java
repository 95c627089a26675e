package org.bambooarch.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.request.header.HeaderRules;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.entry.request.target.TargetClients;
import org.bambooarch.entry.request.target.TargetExchange;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers in trouble that state a status which HTTP does not have. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class TargetStatusTest {

  private static void respond(ServerSocket listener, String status) {
    try (Socket socket = listener.accept()) {
      TargetJoinedAnswerTest.readHead(
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)));
      String response =
          "HTTP/1.1 %s OK\r\n%s: r1\r\ncontent-length: 2\r\n\r\nok"
              .formatted(status, HeaderRules.REQUEST_ID);
      socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      socket.getInputStream().read();
    } catch (IOException e) {
      // The test has ended.
      return;
    }
  }

  // Callers got a response with the status 000 for an answer.
  @ParameterizedTest
  @ValueSource(strings = {"000", "99", "600", "999"})
  void should_pass_no_response_on_when_its_status_is_not_one_of_http(String status)
      throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        TargetClients clients = new TargetClients()) {
      Thread.startVirtualThread(() -> respond(listener, status));
      Server server =
          new Server("s", "orders", "kochi-a", "127.0.0.1", listener.getLocalPort(), 4, 100);
      TargetExchange exchange = new TargetExchange(clients, SystemClock.systemClock());
      long deadlineNanos = SystemClock.systemClock().monotonicNanos() + 8_000_000_000L;

      TargetExchange.Result result =
          exchange.sendAndAwaitResponse(
              TargetJoinedAnswerTest.request("r1", deadlineNanos), server, deadlineNanos);

      assertThat(result).isInstanceOf(TargetExchange.Result.Failed.class);
    }
  }
}
