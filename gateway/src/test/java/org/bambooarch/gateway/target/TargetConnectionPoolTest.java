package org.bambooarch.gateway.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.time.Clock;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Which connection a request uses; the server counts its connections and names the one in use. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class TargetConnectionPoolTest {

  private static final int CONNECT_TIMEOUT_MILLIS = 50_000;
  private static final String CONNECTION_NUMBER = "connection-number";

  private final Clock clock = ManualClock.startingAtZero();
  private final EventLoopGroup eventLoops = NettyTransport.newSingleThreadGroup();
  private final EventLoop loop = (EventLoop) eventLoops.next();
  private ServerSocket server;
  private TargetConnectionPool pool;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::acceptConnections);
    pool =
        new TargetConnectionPool(
            new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
            new ResponseIdFormat(),
            loop,
            clock,
            CONNECT_TIMEOUT_MILLIS,
            new TargetConnectionPool.Observer() {});
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    eventLoops.shutdownGracefully();
  }

  private void acceptConnections() {
    try {
      for (int number = 1; true; number++) {
        Socket socket = server.accept();
        int acceptedNumber = number;
        Thread.ofVirtual().start(() -> respondToAll(socket, acceptedNumber));
      }
    } catch (IOException e) {
      // The test has ended.
      return;
    }
  }

  private static void respondToAll(Socket socket, int number) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String id = "";
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith("id: ")) {
          id = line.substring("id: ".length());
        }
        if (line.isEmpty()) {
          String response =
              "HTTP/1.1 200 OK\r\nid: %s\r\n%s: %d\r\ncontent-length: 0\r\n\r\n"
                  .formatted(id, CONNECTION_NUMBER, number);
          socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
          id = "";
        }
      }
    } catch (IOException e) {
      // The test has ended.
      return;
    }
  }

  private static final class RecordingListener implements TargetResponseListener {

    private final CompletableFuture<Integer> connectionNumber = new CompletableFuture<>();
    private int number;

    @Override
    public void onUnreachable(boolean refused) {
      connectionNumber.completeExceptionally(new IOException("unreachable"));
    }

    @Override
    public void onSending() {}

    @Override
    public void onResponseHead(HttpResponse head, ServerResponseHeaders headers) {
      number = head.headers().getInt(CONNECTION_NUMBER, 0);
    }

    @Override
    public void onBodyPart(ByteBuf part) {
      part.release();
    }

    @Override
    public void onComplete() {
      connectionNumber.complete(number);
    }

    @Override
    public void onConnectionLost(String reason) {
      connectionNumber.completeExceptionally(new IOException(reason));
    }
  }

  /** Sends a request; returns the number of its connection when the response is complete. */
  private int send(String requestId, boolean idempotent) throws Exception {
    DefaultHttpHeaders headers = new DefaultHttpHeaders();
    if (!requestId.isEmpty()) {
      headers.set("id", requestId);
    }
    TargetRequest request =
        new TargetRequest("GET", "/", headers, requestId, idempotent, Optional.of(new byte[0]), -1);
    SendGate gate =
        new SendGate(
            loop,
            clock,
            RequestTime.of(clock.monotonicNanos(), CONNECT_TIMEOUT_MILLIS),
            new WaitingClient());
    RecordingListener listener = new RecordingListener();
    loop.execute(() -> pool.send(request, gate, listener, new TargetRequestHandle(), () -> {}));
    return listener.connectionNumber.get();
  }

  // Guards against a second response to an earlier attempt that is taken for that to a later one.
  @Test
  void should_use_another_connection_when_the_idle_one_has_carried_the_id() throws Exception {
    assertThat(send("r1", false)).isEqualTo(1);
    assertThat(send("r1", false)).isEqualTo(2);
    assertThat(send("r1", true)).isEqualTo(3);
  }

  @Test
  void should_reuse_every_idle_connection_for_other_ids_when_one_id_comes_again() throws Exception {
    send("r1", false);
    send("r1", false);

    assertThat(send("r2", false)).isEqualTo(2);
    assertThat(send("r2", false)).isEqualTo(1);
    assertThat(send("r3", true)).isEqualTo(1);
    assertThat(send("r3", true)).isEqualTo(2);
  }

  // Guards against a response that matches any request without an id.
  @Test
  void should_use_another_connection_when_the_idle_one_has_carried_a_request_without_an_id()
      throws Exception {
    assertThat(send("", false)).isEqualTo(1);
    assertThat(send("", false)).isEqualTo(2);
    assertThat(send("r1", false)).isEqualTo(2);
  }

  // Guards against a connection that is used when its memory of ids is full.
  @Test
  void should_open_a_new_connection_when_the_idle_one_has_carried_as_many_ids_as_it_can_remember()
      throws Exception {
    for (int i = 0; i < CarriedRequestIds.MAX_IDS; i++) {
      assertThat(send("r" + i, false)).isEqualTo(1);
    }

    assertThat(send("r0", false)).isEqualTo(2);
    assertThat(send("another", false)).isEqualTo(2);
  }
}
