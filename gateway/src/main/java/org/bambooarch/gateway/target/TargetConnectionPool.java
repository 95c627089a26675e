package org.bambooarch.gateway.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.time.Clock;
import org.bambooarch.gateway.spi.RequestFormat;

/**
 * Idle connections to one address, which are reused for further requests.
 *
 * <p>Used on the event loop only.
 */
final class TargetConnectionPool {

  /** Longest idle time after which an idempotent request may still use a connection: 4 s. */
  private static final long MAX_IDLE_IDEMPOTENT_NANOS = 4_000_000_000L;

  /**
   * Longest idle time after which a non-idempotent request may still use a connection: 1.5 s. It is
   * short because the server may close an idle connection, and a lost request cannot be retried.
   */
  private static final long MAX_IDLE_NON_IDEMPOTENT_NANOS = 1_500_000_000L;

  /**
   * Time after an unsolicited response in which non-idempotent requests to the server use new
   * connections only: 10 s.
   */
  private static final long NEW_CONNECTIONS_ONLY_NANOS = 10_000_000_000L;

  /** Time after which a connection that is not open yet is reported as slow: 0.3 s. */
  private static final long SLOW_CONNECT_MILLIS = 300;

  /**
   * Delay of the event loop above which a connection that timed out is no evidence, in nanoseconds:
   * 0.2 s. The connection may have been opened and not been processed yet.
   */
  private static final long MAX_LAG_NANOS = 200_000_000L;

  private static final int MAX_IDLE_CONNECTIONS = 8;

  /** Receives what the connections say about whether the address can be reached. */
  interface Observer {

    /** Called when a new connection was opened. */
    default void onConnected() {}

    /** Called when a connection for a request could not be opened. */
    default void onConnectFailed() {}

    /** Called when a connection for a probe could not be opened. */
    default void onProbeFailed() {}

    /** Called when a connection takes unusually long to open. */
    default void onConnectSlow() {}

    /** Called when data arrived. */
    default void onRead() {}

    /** Called when a response was passed on to no request. */
    default void onResponseSkipped(SkippedResponse response) {}
  }

  private final InetSocketAddress address;
  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final Clock clock;
  private final Deque<TargetConnection> idleConnections = new ArrayDeque<>();
  private final RequestFormat format;
  private final Observer observer;
  private final int connectTimeoutMillis;
  private boolean sawUnsolicitedResponse;
  private long newConnectionsOnlyUntilNanos;

  TargetConnectionPool(
      InetSocketAddress address,
      RequestFormat format,
      EventLoop loop,
      Clock clock,
      int connectTimeoutMillis,
      Observer observer) {
    this(
        address,
        format,
        NettyTransport.newBootstrap(loop),
        loop,
        clock,
        connectTimeoutMillis,
        observer);
  }

  /** Creates a pool whose connections a bootstrap opens that uses the event loop. */
  TargetConnectionPool(
      InetSocketAddress address,
      RequestFormat format,
      Bootstrap bootstrap,
      EventLoop loop,
      Clock clock,
      int connectTimeoutMillis,
      Observer observer) {
    this.address = address;
    this.format = format;
    this.loop = loop;
    this.clock = clock;
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.observer = observer;
    this.bootstrap = bootstrap;
  }

  /**
   * Sends a request over an idle connection that has not carried its id or, if none is usable, over
   * a new one.
   *
   * @param gate asked again when a new connection is open; an idle one is used at once
   * @param onConnected called when a new connection is open, also if the request was cancelled
   */
  void send(
      TargetRequest request,
      SendGate gate,
      TargetResponseListener listener,
      TargetRequestHandle handle,
      Runnable onConnected) {
    TargetConnection idleConnection = pollIdle(request);
    if (idleConnection != null) {
      handle.onConnectionReady(idleConnection);
      idleConnection.send(request, listener);
      return;
    }
    TargetConnection newConnection = new TargetConnection(this, format, clock);
    newConnection.keepAliveNanos(MAX_IDLE_IDEMPOTENT_NANOS);
    long startNanos = clock.monotonicNanos();
    ChannelFuture connecting = connect(newConnection, connectTimeoutMillis);
    handle.onConnecting(connecting, startNanos);
    loop.schedule(() -> reportIfPending(connecting), SLOW_CONNECT_MILLIS, TimeUnit.MILLISECONDS);
    connecting.addListener(
        (ChannelFutureListener)
            future -> {
              if (!future.isSuccess()) {
                if (isEvidence(future, startNanos, connectTimeoutMillis)) {
                  observer.onConnectFailed();
                }
                handle.onConnectFailed(listener, isConnectionRefused(future.cause()));
                return;
              }
              onConnected.run();
              observer.onConnected();
              handle.onOpened(clock.monotonicNanos());
              gate.pass(
                  () -> sendOverNew(newConnection, request, listener, handle),
                  () -> keepUnused(newConnection));
            });
  }

  private void keepUnused(TargetConnection newConnection) {
    newConnection.markIdle();
    release(newConnection, newConnection.isOpen());
  }

  /**
   * Opens a connection that stays idle until a request uses it.
   *
   * @param timeoutMillis time limit for opening it, in milliseconds
   * @param onConnected called when it is open
   */
  void probe(int timeoutMillis, Runnable onConnected) {
    TargetConnection newConnection = new TargetConnection(this, format, clock);
    newConnection.keepAliveNanos(MAX_IDLE_IDEMPOTENT_NANOS);
    long startNanos = clock.monotonicNanos();
    connect(newConnection, timeoutMillis)
        .addListener(
            (ChannelFutureListener)
                future -> {
                  if (future.isSuccess()) {
                    onConnected.run();
                    observer.onConnected();
                    newConnection.markIdle();
                    release(newConnection, true);
                  } else if (isEvidence(future, startNanos, timeoutMillis)) {
                    observer.onProbeFailed();
                  }
                });
  }

  private void reportIfPending(ChannelFuture connecting) {
    if (!connecting.isDone()) {
      observer.onConnectSlow();
    }
  }

  private boolean isEvidence(ChannelFuture failed, long startNanos, int timeoutMillis) {
    long latestNanos = timeoutMillis * 1_000_000L + MAX_LAG_NANOS;
    return !failed.isCancelled() && clock.monotonicNanos() - startNanos < latestNanos;
  }

  private ChannelFuture connect(TargetConnection newConnection, int timeoutMillis) {
    return bootstrap
        .clone()
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new ReceivedBytesFilter(newConnection))
                    .addLast(newConnection.targetEncoder())
                    .addLast(newConnection.decoder())
                    .addLast(new HttpRequestEncoder())
                    .addLast(newConnection);
              }
            })
        .connect(address);
  }

  private static void sendOverNew(
      TargetConnection newConnection,
      TargetRequest request,
      TargetResponseListener listener,
      TargetRequestHandle handle) {
    if (handle.isCancelled()) {
      newConnection.close();
      return;
    }
    if (!newConnection.isOpen()) {
      handle.onConnectFailed(listener, false);
      return;
    }
    handle.onConnectionReady(newConnection);
    newConnection.send(request, listener);
  }

  private static boolean isConnectionRefused(Throwable cause) {
    return cause instanceof ConnectException
        && !(cause instanceof io.netty.channel.ConnectTimeoutException);
  }

  private TargetConnection pollIdle(TargetRequest request) {
    boolean newConnectionsOnly =
        sawUnsolicitedResponse && clock.monotonicNanos() - newConnectionsOnlyUntilNanos < 0;
    if (newConnectionsOnly && !request.idempotent()) {
      return null;
    }
    long maxIdleNanos =
        request.idempotent() ? MAX_IDLE_IDEMPOTENT_NANOS : MAX_IDLE_NON_IDEMPOTENT_NANOS;
    Iterator<TargetConnection> newestFirst = idleConnections.descendingIterator();
    while (newestFirst.hasNext()) {
      TargetConnection connection = newestFirst.next();
      boolean usable = connection.isUsable(maxIdleNanos);
      if (usable && connection.hasCarried(request.requestId())) {
        continue;
      }
      newestFirst.remove();
      if (usable) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  /**
   * Takes back a connection whose request is complete; closes it if not reusable or the pool is
   * full.
   */
  void release(TargetConnection connection, boolean reusable) {
    if (!reusable || idleConnections.size() >= MAX_IDLE_CONNECTIONS) {
      connection.close();
      return;
    }
    idleConnections.addLast(connection);
  }

  /** Called when a connection was closed, idle or not. */
  void onClosed(TargetConnection connection) {
    idleConnections.remove(connection);
  }

  /** Called when data arrived on a connection. */
  void onRead() {
    observer.onRead();
  }

  /** Called when a response arrived that belongs to no request in progress. */
  void onUnsolicitedResponse(SkippedResponse response) {
    observer.onResponseSkipped(response);
    sawUnsolicitedResponse = true;
    newConnectionsOnlyUntilNanos = clock.monotonicNanos() + NEW_CONNECTIONS_ONLY_NANOS;
  }

  /** Closes the idle connections. */
  void close() {
    while (!idleConnections.isEmpty()) {
      idleConnections.pollLast().close();
    }
  }
}
