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

/** Accepts connections of peers. */
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

  /** Creates the listener. */
  public PeerListener(PeerSettings settings, Inbox inbox, Consumer<PeerEvent> eventConsumer) {
    this.settings = settings;
    this.inbox = inbox;
    this.eventConsumer = eventConsumer;
  }

  /** Binds and returns the port. */
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

  /** Stops accepting and ends all accepted connections. */
  public void close() {
    if (server != null) {
      server.close();
    }
    channelsByInstance.values().forEach(Channel::close);
  }

  /** Returns the instances that have opened a connection. */
  public Set<String> inboundPeers() {
    return Set.copyOf(channelsByInstance.keySet());
  }

  /** Sends an encoded envelope on the connection that a peer opened, if there is one. */
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

  /** The life of one accepted connection. */
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
        // The peer opens one connection at a time, so the earlier one is dead at its end.
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
