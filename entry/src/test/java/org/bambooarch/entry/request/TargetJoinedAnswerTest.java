package org.bambooarch.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.request.header.HeaderRules;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.entry.request.RouteTable.RouteMatch;
import org.bambooarch.entry.request.target.TargetClients;
import org.bambooarch.entry.request.target.TargetExchange;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that write the beginning of another response behind one. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class TargetJoinedAnswerTest {

  static CallerRequest request(String id, long deadlineNanos) {
    Route route =
        new Route("orders", "GET", "/orders", true, PriorityClass.COUNTER, 1_000, 5_000, false);
    return new CallerRequest(
        id,
        new RouteMatch("orders", route),
        "c",
        Optional.empty(),
        Optional.empty(),
        "GET",
        "/orders/1",
        List.of(),
        new byte[0],
        deadlineNanos);
  }

  private static String response(int status, String id, String body) {
    return "HTTP/1.1 %d X\r\n%s: %s\r\ncontent-length: %d\r\n\r\n%s"
        .formatted(status, HeaderRules.REQUEST_ID, id, body.length(), body);
  }

  static void readHead(BufferedReader in) throws IOException {
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      line = in.readLine();
    }
    if (line == null) {
      throw new IOException("closed");
    }
  }

  private static void serve(Socket socket, String part) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      readHead(in);
      socket.getOutputStream().write((response(200, "r1", "one") + part).getBytes("US-ASCII"));
      readHead(in);
      socket.getOutputStream().write(response(500, "r2", "failed").getBytes("US-ASCII"));
      readHead(in);
    } catch (IOException e) {
      // The test has ended.
      return;
    }
  }

  private static void serveFailures(ServerSocket listener) {
    try {
      while (true) {
        Socket socket = listener.accept();
        readHead(
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)));
        socket.getOutputStream().write(response(500, "r2", "failed").getBytes("US-ASCII"));
      }
    } catch (IOException e) {
      // The test has ended.
      return;
    }
  }

  // Regression: the beginning of another response became part of the response to the next request.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 X",
        "HTTP/1.1 200 X\r\nx-a: b",
        "HTTP/1.1 200 X\r\nx-a: ",
        "HTTP/1.1 200 X\r\nbambooarch-request-id: r2\r\ncontent-length: 90\r\n\r\n",
      })
  void should_pass_no_success_on_when_a_part_of_a_response_precedes_a_failure(String part)
      throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        TargetClients clients = new TargetClients()) {
      Thread.startVirtualThread(
          () -> {
            try {
              Socket first = listener.accept();
              Thread.startVirtualThread(() -> serve(first, part));
            } catch (IOException e) {
              return;
            }
            serveFailures(listener);
          });
      Server server =
          new Server("s", "orders", "kochi-a", "127.0.0.1", listener.getLocalPort(), 4, 100);
      TargetExchange exchange = new TargetExchange(clients, SystemClock.systemClock());
      long deadlineNanos = SystemClock.systemClock().monotonicNanos() + 8_000_000_000L;
      exchange.sendAndAwaitResponse(request("r1", deadlineNanos), server, deadlineNanos);

      TargetExchange.Result result =
          exchange.sendAndAwaitResponse(request("r2", deadlineNanos), server, deadlineNanos);

      if (result instanceof TargetExchange.Result.Aggregated aggregated) {
        assertThat(aggregated.aggregated().status().code()).isEqualTo(500);
      }
    }
  }
}
