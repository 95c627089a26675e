package org.bambooarch.gateway.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.bambooarch.core.time.Clock;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedClass;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Which ends of a connection complete a response without a length; the server writes a part of its
 * response while the request is still being sent.
 */
@ParameterizedClass
@EnumSource
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class UnframedResponseTest {

  /** How this machine opens connections, and how it does without native code. */
  enum Transport {
    DEFAULT,
    NIO
  }

  private static final int CONNECT_TIMEOUT_MILLIS = 50_000;
  private static final int PART_BYTES = 64 * 1024;
  private static final String COMPLETE = "complete";

  private final Clock clock = ManualClock.startingAtZero();
  private final CompletableFuture<Socket> serverSide = new CompletableFuture<>();
  private final EventLoopGroup eventLoops;
  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private ServerSocket server;
  private TargetConnectionPool pool;

  UnframedResponseTest(Transport transport) {
    eventLoops =
        transport == Transport.NIO
            ? new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            : NettyTransport.newSingleThreadGroup();
    loop = eventLoops.next();
    bootstrap =
        transport == Transport.NIO
            ? new Bootstrap().group(loop).channel(NioSocketChannel.class)
            : NettyTransport.newBootstrap(loop);
  }

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    pool =
        new TargetConnectionPool(
            new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
            new ResponseIdFormat(),
            bootstrap,
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

  /** Runs an action when a part of the body has arrived, and tells how the response ended. */
  private static final class EndListener implements TargetResponseListener {

    private final CompletableFuture<String> end = new CompletableFuture<>();
    private final Runnable onPart;

    private EndListener(Runnable onPart) {
      this.onPart = onPart;
    }

    @Override
    public void onUnreachable(boolean refused) {
      end.complete("unreachable");
    }

    @Override
    public void onSending() {}

    @Override
    public void onResponseHead(HttpResponse head, ServerResponseHeaders headers) {}

    @Override
    public void onBodyPart(ByteBuf part) {
      part.release();
      onPart.run();
    }

    @Override
    public void onComplete() {
      end.complete(COMPLETE);
    }

    @Override
    public void onConnectionLost(String reason) {
      end.complete("lost: " + reason);
    }
  }

  /**
   * Sends a request with a streamed body, whose response begins before the body is sent.
   *
   * @param onPart what happens on the event loop when a part of the response's body has arrived
   * @return how the response ended
   */
  private CompletableFuture<String> exchange(Consumer<TargetRequestHandle> onPart)
      throws IOException {
    TargetRequest request =
        new TargetRequest("POST", "/", new DefaultHttpHeaders(), "", false, Optional.empty(), -1);
    SendGate gate =
        new SendGate(
            loop,
            clock,
            RequestTime.of(clock.monotonicNanos(), CONNECT_TIMEOUT_MILLIS),
            new WaitingClient());
    TargetRequestHandle handle = new TargetRequestHandle();
    EndListener listener = new EndListener(() -> onPart.accept(handle));
    loop.execute(() -> pool.send(request, gate, listener, handle, () -> {}));
    Socket accepted = server.accept();
    serverSide.complete(accepted);
    readHead(accepted);
    accepted
        .getOutputStream()
        .write("HTTP/1.1 200 OK\r\n\r\npart".getBytes(StandardCharsets.US_ASCII));
    return listener.end;
  }

  /** Reads the head of the request and nothing behind it. */
  private static void readHead(Socket accepted) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = accepted.getInputStream().read();
      if (next < 0) {
        throw new IOException("the connection ended within the head of the request");
      }
      head.append((char) next);
    }
  }

  private static ByteBuf part() {
    return Unpooled.wrappedBuffer(new byte[PART_BYTES]);
  }

  /** Sends parts of the request until one has to wait, since the server reads none of them. */
  private static void sendUntilBlocked(TargetRequestHandle handle) {
    AtomicBoolean written = new AtomicBoolean(true);
    while (written.getAndSet(false)) {
      handle.sendBody(part(), () -> written.set(true));
    }
  }

  /** An action on the server's socket. */
  private interface SocketAction {
    void run(Socket socket) throws IOException;
  }

  private void atServer(SocketAction action) {
    try {
      action.run(serverSide.join());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void resetByServer() {
    atServer(
        socket -> {
          socket.setSoLinger(true, 0);
          socket.close();
        });
  }

  /** Closes the connection when nothing is unread, so that the server's output ends regularly. */
  private void closeByServer() {
    atServer(Socket::close);
  }

  private void endOutputOfServer() {
    atServer(Socket::shutdownOutput);
  }

  // Clients got the part as a complete response.
  @Test
  void should_fail_when_the_server_resets_the_connection_while_the_request_waits_to_be_written()
      throws Exception {
    CompletableFuture<String> end =
        exchange(
            handle -> {
              sendUntilBlocked(handle);
              resetByServer();
            });

    assertThat(end.get()).startsWith("lost: ");
  }

  @Test
  void should_fail_when_a_part_of_the_request_is_written_after_the_server_reset_the_connection()
      throws Exception {
    CompletableFuture<String> end =
        exchange(
            handle -> {
              resetByServer();
              sendUntilBlocked(handle);
            });

    assertThat(end.get()).startsWith("lost: ");
  }

  @Test
  void should_fail_when_the_server_resets_the_connection_and_nothing_is_written() throws Exception {
    CompletableFuture<String> end = exchange(handle -> resetByServer());

    assertThat(end.get()).startsWith("lost: ");
  }

  @Test
  void should_complete_when_the_server_ends_its_output_while_the_request_waits_to_be_written()
      throws Exception {
    CompletableFuture<String> end =
        exchange(
            handle -> {
              sendUntilBlocked(handle);
              endOutputOfServer();
            });

    assertThat(end.get()).isEqualTo(COMPLETE);
  }

  @Test
  void should_complete_when_the_server_ends_its_output_after_the_request() throws Exception {
    CompletableFuture<String> end =
        exchange(
            handle -> {
              handle.endBody();
              endOutputOfServer();
            });

    assertThat(end.get()).isEqualTo(COMPLETE);
  }

  @Test
  void should_fail_when_the_server_closes_the_connection_and_the_request_finds_it_reset()
      throws Exception {
    CompletableFuture<String> end =
        exchange(
            handle -> {
              closeByServer();
              sendUntilBlocked(handle);
            });

    assertThat(end.get()).startsWith("lost: ");
  }
}
