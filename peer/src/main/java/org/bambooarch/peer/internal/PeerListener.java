package org.bambooarch.peer.internal;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.handler.traffic.ChannelTrafficShapingHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.bambooarch.peer.PeerEvent;
import org.bambooarch.peer.PeerSettings;

/**
 * Accepts and authenticates the connections that peers open.
 *
 * <p>At most {@value #MAX_UNAUTHENTICATED_CONNECTIONS} connections may be in the handshake; further
 * ones are closed at once and not reported. The rate at which each connection is read is limited.
 */
public final class PeerListener {

  private static final int MAX_UNAUTHENTICATED_CONNECTIONS = 256;
  private static final long SHAPING_CHECK_MILLIS = 100;
  private static final long SHAPING_MAX_WAIT_MILLIS = 1_000;

  private final PeerSettings settings;
  private final Inbox inbox;
  private final Consumer<PeerEvent> eventConsumer;
  private final Map<String, Channel> channelsByInstance = new ConcurrentHashMap<>();
  private final AtomicInteger unauthenticatedConnections = new AtomicInteger();
  private volatile Channel server;

  /** Creates a listener; {@link #bind} opens its port. */
  public PeerListener(PeerSettings settings, Inbox inbox, Consumer<PeerEvent> eventConsumer) {
    this.settings = settings;
    this.inbox = inbox;
    this.eventConsumer = eventConsumer;
  }

  /** Binds the address of the settings and returns the bound port. */
  public int bind(EventLoopGroup group) throws InterruptedException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel accepted) {
                    initialize(accepted);
                  }
                });
    server = bootstrap.bind(settings.host(), settings.port()).sync().channel();
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Stops accepting and closes all authenticated connections that peers opened. */
  public void close() {
    if (server != null) {
      server.close();
    }
    channelsByInstance.values().forEach(Channel::close);
  }

  /** Returns the names of the instances that have an open, authenticated connection to this one. */
  public Set<String> inboundPeers() {
    return Set.copyOf(channelsByInstance.keySet());
  }

  /**
   * Sends an encoded envelope on the connection that a peer opened, or drops it without counting if
   * there is none.
   */
  public void send(String instance, byte[] payload) {
    Channel channel = channelsByInstance.get(instance);
    if (channel != null && channel.pipeline().get("session") instanceof AcceptorSession session) {
      session.send(channel, payload);
    }
  }

  private void initialize(Channel accepted) {
    if (unauthenticatedConnections.incrementAndGet() > MAX_UNAUTHENTICATED_CONNECTIONS) {
      unauthenticatedConnections.decrementAndGet();
      accepted.close();
      return;
    }
    AcceptedConnection connection = new AcceptedConnection(accepted);
    long livenessTimeoutMillis = settings.livenessTimeout().toMillis();
    accepted
        .pipeline()
        .addLast(
            new ChannelTrafficShapingHandler(
                0, settings.inboundBytesPerSecond(), SHAPING_CHECK_MILLIS, SHAPING_MAX_WAIT_MILLIS))
        .addLast(new ReadTimeoutHandler(2 * livenessTimeoutMillis, TimeUnit.MILLISECONDS))
        .addLast(new FrameDecoder())
        .addLast(new AcceptorHandshake(settings, connection::onAuthenticated))
        .addLast(new ConnectionCloseHandler(livenessTimeoutMillis, connection::onClosed));
  }

  /** State of one accepted connection; {@code instance} is null until the peer is authenticated. */
  private final class AcceptedConnection {

    private final Channel channel;
    private String instance;

    AcceptedConnection(Channel channel) {
      this.channel = channel;
    }

    void onAuthenticated(
        ChannelHandlerContext context,
        String authenticatedInstance,
        SessionAuthenticators authenticators) {
      unauthenticatedConnections.decrementAndGet();
      instance = authenticatedInstance;
      context.pipeline().get(FrameDecoder.class).allowSessionFrames();
      context.pipeline().get(ConnectionCloseHandler.class).markAuthenticated();
      AcceptorSession session = new AcceptorSession(authenticatedInstance, authenticators, inbox);
      context.pipeline().replace(context.handler(), "session", session);
      Channel earlier = channelsByInstance.put(authenticatedInstance, channel);
      if (earlier != null) {
        // A peer opens one connection at a time, so at its end the earlier one no longer exists.
        earlier.close();
      }
    }

    void onClosed(String reason) {
      if (instance == null) {
        unauthenticatedConnections.decrementAndGet();
        eventConsumer.accept(
            new PeerEvent.Rejected(String.valueOf(channel.remoteAddress()), reason));
        return;
      }
      channelsByInstance.remove(instance, channel);
    }
  }
}
