package org.bambooarch.gateway.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.time.Clock;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// Guards against requests that are written to a connection that has just been opened, although
// their client had closed its connection by then.
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class SendOverNewConnectionTest {

  private static final long TIMEOUT_MILLIS = 50_000;

  private final Clock clock = SystemClock.systemClock();
  private final EventLoopGroup eventLoops = NettyTransport.newSingleThreadGroup();
  private final EventLoop loop = (EventLoop) eventLoops.next();
  private final ServerSocket server = listen();
  private final ServerSocket clientListener = listen();
  private final Channel clientChannel = connectClient();
  private final CompletableFuture<String> outcome = new CompletableFuture<>();

  private static ServerSocket listen() {
    try {
      return new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Opens a connection on the same event loop, which stands for that of a client. */
  private Channel connectClient() {
    return new Bootstrap()
        .group(loop)
        .channel(NettyTransport.socketChannelType())
        .handler(new ChannelInboundHandlerAdapter())
        .connect(addressOf(clientListener))
        .syncUninterruptibly()
        .channel();
  }

  private static InetSocketAddress addressOf(ServerSocket listener) {
    return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    clientListener.close();
    eventLoops.shutdownGracefully();
  }

  private final class RecordingListener implements TargetResponseListener {

    @Override
    public void onUnreachable(boolean refused) {
      outcome.complete("unreachable");
    }

    @Override
    public void onSending() {
      outcome.complete("sent");
    }

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

  private final class ClientOfRequest implements SendGate.Owner {

    @Override
    public boolean isFinished() {
      return !clientChannel.isActive();
    }

    @Override
    public double serviceNanos() {
      return 0;
    }

    @Override
    public boolean mayRun() {
      return true;
    }

    @Override
    public void onRefused(SendGate.Refusal refusal) {
      outcome.complete("refused " + refusal);
    }
  }

  private void send(Runnable onConnected) {
    TargetConnectionPool pool =
        new TargetConnectionPool(
            addressOf(server),
            new ResponseIdFormat(),
            loop,
            clock,
            (int) TIMEOUT_MILLIS,
            new TargetConnectionPool.Observer() {});
    TargetRequest request =
        new TargetRequest(
            "GET", "/", new DefaultHttpHeaders(), "r1", true, Optional.of(new byte[0]), -1);
    SendGate gate =
        new SendGate(
            loop,
            clock,
            RequestTime.of(clock.monotonicNanos(), TIMEOUT_MILLIS),
            new ClientOfRequest());
    loop.execute(
        () ->
            pool.send(
                request, gate, new RecordingListener(), new TargetRequestHandle(), onConnected));
  }

  @Test
  void should_send_nothing_when_the_client_left_in_the_turn_in_which_the_connection_was_opened()
      throws Exception {
    Socket client = clientListener.accept();

    send(
        () -> {
          try {
            client.close();
          } catch (IOException e) {
            outcome.completeExceptionally(e);
          }
        });

    assertThat(outcome.get()).isEqualTo("refused ENDED");
  }

  @Test
  void should_send_over_a_new_connection_when_the_client_is_still_there() throws Exception {
    try (Socket client = clientListener.accept()) {
      send(() -> {});

      assertThat(outcome.get()).isEqualTo("sent");
      assertThat(client.isClosed()).isFalse();
    }
  }
}
