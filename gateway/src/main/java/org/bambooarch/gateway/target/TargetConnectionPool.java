package org.bambooarch.gateway.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.time.Clock;
import org.bambooarch.gateway.spi.RequestFormat;

/** The connections to one server. */
final class TargetConnectionPool {

  /** How long a connection may idle before a request that may be repeated takes it: 4 s. */
  private static final long IDLE_NANOS = 4_000_000_000L;

  /** The same for a request that may not: short, since a lost one cannot be sent again. */
  private static final long IDLE_ONCE_NANOS = 1_500_000_000L;

  /** How long a server that sent unasked bytes gets such requests on new connections only. */
  private static final long DOUBT_NANOS = 10_000_000_000L;

  private static final int MAX_IDLE_CONNECTIONS = 8;
  private static final int MAX_LINE_BYTES = 8 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  private final ServerEntry server;
  private final Bootstrap bootstrap;
  private final Clock clock;
  private final Deque<TargetConnection> idle = new ArrayDeque<>();
  private final RequestFormat format;
  private boolean doubted;
  private long doubtedUntilNanos;

  TargetConnectionPool(
      ServerEntry server,
      RequestFormat format,
      EventLoop loop,
      Clock clock,
      int connectTimeoutMillis) {
    this.server = server;
    this.format = format;
    this.clock = clock;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NettyTransport.socketChannelType())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
    NettyTransport.socketOptions().forEach(this::option);
  }

  @SuppressWarnings("unchecked")
  private void option(ChannelOption<?> option, Object value) {
    bootstrap.option((ChannelOption<Object>) option, value);
  }

  void send(
      TargetRequest request,
      TargetResponseListener call,
      TargetRequestHandle handle,
      Runnable onConnected) {
    TargetConnection ready = takeIdle(request.idempotent());
    if (ready != null) {
      handle.onConnectionReady(ready);
      ready.send(request, call);
      return;
    }
    TargetConnection fresh = new TargetConnection(this, format, clock);
    fresh.keepAliveNanos(IDLE_NANOS);
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                        .addLast(fresh);
                  }
                })
            .connect(new InetSocketAddress(server.host(), server.port()));
    handle.onConnecting(connecting);
    connecting.addListener(
        (ChannelFutureListener)
            future -> {
              if (!future.isSuccess()) {
                handle.onConnectFailed(call, isRefusal(future.cause()));
                return;
              }
              onConnected.run();
              if (handle.isCancelled()) {
                fresh.close();
                return;
              }
              handle.onConnectionReady(fresh);
              fresh.send(request, call);
            });
  }

  private static boolean isRefusal(Throwable cause) {
    return cause instanceof ConnectException
        && !(cause instanceof io.netty.channel.ConnectTimeoutException);
  }

  private TargetConnection takeIdle(boolean idempotent) {
    boolean inDoubt = doubted && clock.monotonicNanos() - doubtedUntilNanos < 0;
    long maxIdleNanos = idempotent ? IDLE_NANOS : IDLE_ONCE_NANOS;
    while (!idle.isEmpty()) {
      if (inDoubt && !idempotent) {
        return null;
      }
      TargetConnection connection = idle.pollLast();
      if (connection.isUsable(maxIdleNanos)) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  void release(TargetConnection connection, boolean reusable) {
    if (!reusable || idle.size() >= MAX_IDLE_CONNECTIONS) {
      connection.close();
      return;
    }
    idle.addLast(connection);
  }

  void onClosed(TargetConnection connection) {
    idle.remove(connection);
  }

  void onUnsolicitedResponse() {
    doubted = true;
    doubtedUntilNanos = clock.monotonicNanos() + DOUBT_NANOS;
  }

  void close() {
    while (!idle.isEmpty()) {
      idle.pollLast().close();
    }
  }
}
