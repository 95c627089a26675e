package org.bambooarch.peer.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bambooarch.peer.PeerAddress;
import org.bambooarch.peer.PeerEvent;
import org.bambooarch.peer.PeerSettings;
import org.bambooarch.peer.PeerStatus;

/**
 * Sends messages to one peer on a connection that this instance opens, and opens again after a
 * delay whenever it fails or is closed.
 *
 * <p>All methods may be called on any thread.
 */
public final class OutboundPeer {

  private final PeerAddress address;
  private final PeerSettings settings;
  private final Inbox inbox;
  private final EventLoop eventLoop;
  private final BackOff backOff;
  private final Consumer<PeerEvent> eventConsumer;
  private final AtomicLong queuedBytes = new AtomicLong();
  private final LongAdder sentMessages = new LongAdder();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder droppedMessages = new LongAdder();
  private volatile boolean closed;
  // Both are written on the event loop only, and are null while there is no authenticated
  // connection.
  private volatile Channel channel;
  private volatile OpenerSession session;

  /** Creates a peer without a connection; {@link #open} connects to it. */
  public OutboundPeer(
      PeerAddress address,
      PeerSettings settings,
      Inbox inbox,
      EventLoopGroup group,
      RandomGenerator random,
      Consumer<PeerEvent> eventConsumer) {
    this.address = address;
    this.settings = settings;
    this.inbox = inbox;
    this.eventLoop = group.next();
    this.eventConsumer = eventConsumer;
    this.backOff =
        new BackOff(
            settings.minReconnectDelay().toMillis(),
            settings.maxReconnectDelay().toMillis(),
            random);
  }

  /** Returns the address at which the peer listens. */
  public PeerAddress address() {
    return address;
  }

  /** Starts to connect on the event loop, and returns at once. */
  public void open() {
    eventLoop.execute(this::connect);
  }

  /** Closes the connection and opens no other. */
  public void close() {
    closed = true;
    eventLoop.execute(
        () -> {
          if (channel != null) {
            channel.close();
          }
        });
  }

  /** Returns whether there is an authenticated connection to send messages on. */
  public boolean isConnected() {
    return session != null;
  }

  /**
   * Queues an encoded envelope to be sent.
   *
   * <p>It is dropped and counted if there is no authenticated connection, if the queue would exceed
   * {@link PeerSettings#maxQueuedBytes}, or if it is larger than a frame may be.
   */
  public void send(byte[] payload) {
    int frameBytes = payload.length + FrameWriter.OVERHEAD_BYTES;
    if (session == null || frameBytes - Integer.BYTES > FrameDecoder.MAX_SESSION_FRAME_BYTES) {
      droppedMessages.increment();
      return;
    }
    if (queuedBytes.addAndGet(frameBytes) > settings.maxQueuedBytes()) {
      queuedBytes.addAndGet(-frameBytes);
      droppedMessages.increment();
      return;
    }
    eventLoop.execute(() -> write(payload, frameBytes));
  }

  private void write(byte[] payload, int frameBytes) {
    if (session == null) {
      queuedBytes.addAndGet(-frameBytes);
      droppedMessages.increment();
      return;
    }
    ChannelFuture written = FrameWriter.write(channel, session.seal(payload));
    written.addListener(done -> countWritten(done.isSuccess(), frameBytes));
  }

  private void countWritten(boolean success, int frameBytes) {
    queuedBytes.addAndGet(-frameBytes);
    if (!success) {
      droppedMessages.increment();
      return;
    }
    sentMessages.increment();
    sentBytes.add(frameBytes);
  }

  private void connect() {
    if (closed) {
      return;
    }
    long livenessTimeoutMillis = settings.livenessTimeout().toMillis();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) livenessTimeoutMillis)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel opened) {
                    initialize(opened, livenessTimeoutMillis);
                  }
                });
    bootstrap.connect(address.host(), address.port()).addListener(this::onConnectCompleted);
  }

  private void initialize(Channel opened, long livenessTimeoutMillis) {
    opened
        .pipeline()
        .addLast(new ReadTimeoutHandler(livenessTimeoutMillis, TimeUnit.MILLISECONDS))
        .addLast(new FrameDecoder())
        .addLast(new OpenerHandshake(settings, address.instance(), this::onAuthenticated))
        .addLast(new ConnectionCloseHandler(livenessTimeoutMillis, this::onClosed));
  }

  private void onConnectCompleted(io.netty.util.concurrent.Future<? super Void> connected) {
    if (!connected.isSuccess()) {
      reconnectLater();
    }
  }

  private void onAuthenticated(
      ChannelHandlerContext context, SessionAuthenticators authenticators) {
    OpenerSession newSession =
        new OpenerSession(
            address.instance(),
            authenticators,
            inbox,
            settings.pingInterval(),
            settings.livenessTimeout());
    context.pipeline().get(FrameDecoder.class).allowSessionFrames();
    context.pipeline().get(ConnectionCloseHandler.class).markAuthenticated();
    context.pipeline().replace(context.handler(), "session", newSession);
    backOff.reset();
    channel = context.channel();
    session = newSession;
    eventConsumer.accept(new PeerEvent.Connected(address.instance()));
    if (closed) {
      channel.close();
    }
  }

  private void onClosed(String reason) {
    session = null;
    channel = null;
    if (!closed) {
      eventConsumer.accept(new PeerEvent.Disconnected(address.instance(), reason));
    }
    reconnectLater();
  }

  private void reconnectLater() {
    if (closed || eventLoop.isShuttingDown()) {
      return;
    }
    eventLoop.schedule(this::connect, backOff.nextDelayMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns the state and the counters of this connection. */
  public PeerStatus status() {
    return new PeerStatus(
        address.instance(),
        session != null,
        queuedBytes.get(),
        sentMessages.sum(),
        sentBytes.sum(),
        droppedMessages.sum());
  }
}
