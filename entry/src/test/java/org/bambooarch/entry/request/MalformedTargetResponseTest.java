package org.bambooarch.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpData;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.request.AttemptOutcome;
import org.bambooarch.core.request.header.HeaderRules;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.entry.request.target.TargetClients;
import org.bambooarch.entry.request.target.TargetExchange;
import org.bambooarch.entry.request.target.TargetExchange.Result;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.FieldSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers in trouble that send malformed heads, or responses without a length that break off. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class MalformedTargetResponseTest {

  static final String[] MALFORMED_HEADS = {
    "HTTP/1.1 200 OK\r\nx y: z\r\n%s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nx\ty: z\r\n%s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nx : z\r\n%s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n x: z\r\n%s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nx y\r\n%s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nx\r\n%s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n: z\r\n%s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nx\0y: z\r\n%s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nx\u0001y: z\r\n%s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nx\u007fy: z\r\n%s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n%s\r\ncontent-length x: 2\r\n\r\nok!",
    "HTTP/1.1 103 X\r\nx y: z\r\n\r\nHTTP/1.1 200 OK\r\n%s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 0200 OK\r\n%s\r\ncontent-length: 2\r\n\r\nok"
  };

  private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;
  private static final String ID = HeaderRules.REQUEST_ID + ": r1";
  private static final long DEADLINE_NANOS =
      SystemClock.systemClock().monotonicNanos() + 20_000_000_000L;

  private ServerSocket listener;
  private TargetClients clients;
  private TargetExchange exchange;
  private Server server;

  @BeforeEach
  void start() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    clients = new TargetClients();
    exchange = new TargetExchange(clients, SystemClock.systemClock());
    server = new Server("s", "orders", "kochi-a", "127.0.0.1", listener.getLocalPort(), 4, 100);
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
    clients.close();
  }

  private interface Script {
    void respond(Socket socket) throws IOException;
  }

  /** Answers the first request as scripted; accepts the connections that follow. */
  private void respondBy(Script script) {
    Thread.startVirtualThread(
        () -> {
          try (Socket socket = listener.accept()) {
            script.respond(socket);
            while (true) {
              listener.accept().close();
            }
          } catch (IOException e) {
            // The test has ended.
            return;
          }
        });
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static void readHead(Socket socket) throws IOException {
    TargetJoinedAnswerTest.readHead(
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII), 1));
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private static CallerRequest request(String method, int bodyBytes) {
    return new CallerRequest(
        "r1",
        TargetJoinedAnswerTest.request("r1", DEADLINE_NANOS).match(),
        "c",
        Optional.empty(),
        Optional.empty(),
        method,
        "/orders/1",
        List.of(),
        new byte[bodyBytes],
        DEADLINE_NANOS);
  }

  private Result sendAndAwaitResponse(String method) throws InterruptedException {
    return exchange.sendAndAwaitResponse(request(method, 0), server, DEADLINE_NANOS);
  }

  private Result sendAndAwaitHeaders(int bodyBytes) throws InterruptedException {
    return exchange.sendAndAwaitHeaders(request("PUT", bodyBytes), server, DEADLINE_NANOS);
  }

  // Callers got such a response for an answer.
  @ParameterizedTest
  @FieldSource("MALFORMED_HEADS")
  void should_pass_no_response_on_when_its_head_is_malformed(String response) throws Exception {
    respondBy(
        socket -> {
          readHead(socket);
          write(socket, response.formatted(ID));
        });

    assertThat(sendAndAwaitResponse("GET")).isInstanceOf(Result.Failed.class);
  }

  @ParameterizedTest
  @FieldSource("MALFORMED_HEADS")
  void should_stream_no_response_when_its_head_is_malformed(String response) throws Exception {
    respondBy(
        socket -> {
          readHead(socket);
          write(socket, response.formatted(ID));
        });

    assertThat(sendAndAwaitHeaders(0)).isInstanceOf(Result.Failed.class);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nx y: z\r\n%s\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 503 X\r\n%s\r\n"
            + HeaderRules.OUTCOME
            + " x: not-run\r\ncontent-length: 0\r\n\r\n"
      })
  void should_tell_a_malformed_head_from_a_lost_connection_and_from_a_refusal(String response)
      throws Exception {
    respondBy(
        socket -> {
          readHead(socket);
          write(socket, response.formatted(ID));
        });

    assertThat(sendAndAwaitResponse("GET"))
        .isEqualTo(new Result.Failed(new AttemptOutcome.InvalidResponse(0)));
  }

  // Callers got the part as a complete response.
  @Test
  void should_pass_no_part_on_when_the_connection_is_reset_within_a_response_without_a_length()
      throws Exception {
    respondBy(
        socket -> {
          readHead(socket);
          write(socket, "HTTP/1.1 200 OK\r\n%s\r\n\r\npart".formatted(ID));
          reset(socket);
        });

    assertThat(sendAndAwaitResponse("GET")).isInstanceOf(Result.Failed.class);
  }

  @Test
  void should_fail_a_streamed_response_without_a_length_when_the_upload_finds_a_reset()
      throws Exception {
    CompletableFuture<Void> headRead = new CompletableFuture<>();
    respondBy(
        socket -> {
          readHead(socket);
          write(socket, "HTTP/1.1 200 OK\r\n%s\r\n\r\npart".formatted(ID));
          headRead.join();
          reset(socket);
        });

    Result result = sendAndAwaitHeaders(LONG_BODY_BYTES);

    assertThat(result).isInstanceOf(Result.HeadersReceived.class);
    CompletableFuture<List<HttpData>> body =
        ((Result.HeadersReceived) result).split().body().collect();
    headRead.complete(null);
    assertThat(body).failsWithin(20, TimeUnit.SECONDS);
  }

  @Test
  void should_pass_a_response_without_a_length_on_when_the_server_ends_its_output()
      throws Exception {
    respondBy(
        socket -> {
          readHead(socket);
          write(socket, "HTTP/1.1 200 OK\r\n%s\r\n\r\nwhole".formatted(ID));
          socket.close();
        });

    assertThat(sendAndAwaitResponse("GET")).isInstanceOf(Result.Aggregated.class);
  }

  @Test
  void should_wait_for_no_body_when_the_request_is_a_head_request() throws Exception {
    respondBy(
        socket -> {
          readHead(socket);
          write(socket, "HTTP/1.1 200 OK\r\n%s\r\ncontent-length: 0\r\n\r\n".formatted(ID));
        });

    assertThat(sendAndAwaitResponse("HEAD")).isInstanceOf(Result.Aggregated.class);
  }
}
