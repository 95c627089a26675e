package org.bambooarch.gateway.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The Netty transport of this machine (epoll if available, else NIO), and the socket options by
 * which connections to unresponsive machines are closed.
 */
public final class NettyTransport {

  /**
   * Time for which sent bytes or keep-alive probes may stay unacknowledged before the connection is
   * closed: 2 s. On Linux it decides this for probes as well, whatever their number.
   */
  private static final int USER_TIMEOUT_MILLIS = 2_000;

  /** Idle time before the first keep-alive probe, and between probes: 1 s each. */
  private static final int KEEPALIVE_PROBE_SECONDS = 1;

  /**
   * Number of unanswered keep-alive probes after which a connection is closed. Not in force while
   * {@link #USER_TIMEOUT_MILLIS} is set.
   */
  private static final int KEEPALIVE_PROBES = 2;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private NettyTransport() {}

  /** Returns a new group of one event loop, for machines with one core. */
  public static EventLoopGroup newSingleThreadGroup() {
    return new MultiThreadIoEventLoopGroup(
        1,
        new DefaultThreadFactory("traffic"),
        Epoll.isAvailable() ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
  }

  /** Returns the channel type of outgoing TCP connections. */
  static Class<? extends Channel> socketChannelType() {
    return Epoll.isAvailable() ? EpollSocketChannel.class : NioSocketChannel.class;
  }

  /** Returns a bootstrap that opens TCP connections with {@link #socketOptions()}. */
  static Bootstrap newBootstrap(EventLoop loop) {
    Bootstrap bootstrap = new Bootstrap().group(loop).channel(socketChannelType());
    socketOptions().forEach((option, value) -> set(bootstrap, option, value));
    return bootstrap;
  }

  @SuppressWarnings("unchecked")
  private static void set(Bootstrap bootstrap, ChannelOption<?> option, Object value) {
    bootstrap.option((ChannelOption<Object>) option, value);
  }

  /** Returns the channel type of UDP sockets. */
  public static Class<? extends Channel> datagramChannelType() {
    return Epoll.isAvailable() ? EpollDatagramChannel.class : NioDatagramChannel.class;
  }

  /**
   * Returns how long ago the last data of a connection arrived, read or not, in nanoseconds, with
   * the precision of the kernel's timer; empty with NIO, or if the kernel does not tell.
   */
  public static OptionalLong sinceLastDataNanos(Channel channel) {
    if (!(channel instanceof EpollSocketChannel socket)) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(socket.tcpInfo().lastDataRecv() * NANOS_PER_MILLI);
    } catch (ChannelException e) {
      return OptionalLong.empty();
    }
  }

  /**
   * Returns the options of TCP connections that this process opens, to servers and to the store.
   * Connections that it accepts have those of the HTTP server. The options disable Nagle's
   * algorithm and close a connection whose other end no longer responds. The times of the probes
   * apply with epoll only; NIO uses those of the operating system.
   */
  public static Map<ChannelOption<?>, Object> socketOptions() {
    Map<ChannelOption<?>, Object> options = new LinkedHashMap<>();
    options.put(ChannelOption.SO_KEEPALIVE, true);
    options.put(ChannelOption.TCP_NODELAY, true);
    if (Epoll.isAvailable()) {
      options.put(EpollChannelOption.TCP_KEEPIDLE, KEEPALIVE_PROBE_SECONDS);
      options.put(EpollChannelOption.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS);
      options.put(EpollChannelOption.TCP_KEEPCNT, KEEPALIVE_PROBES);
      options.put(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLIS);
    }
    return options;
  }
}
