package org.bambooarch.gateway.target;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
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

/** The transport of this machine, and the socket options by which silent connections end. */
public final class NettyTransport {

  /** Time without acknowledgement of sent bytes after which a connection ends: 2 s. */
  private static final int USER_TIMEOUT_MILLIS = 2_000;

  /** Idle time before the first probe, and between probes: 1 s each. */
  private static final int KEEPALIVE_PROBE_SECONDS = 1;

  /** Unanswered probes after which a connection ends. */
  private static final int KEEPALIVE_PROBES = 2;

  private NettyTransport() {}

  /** Returns a group of one event loop, for machines of one core. */
  public static EventLoopGroup newSingleThreadGroup() {
    return new MultiThreadIoEventLoopGroup(
        1,
        new DefaultThreadFactory("traffic"),
        Epoll.isAvailable() ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
  }

  /** Returns the type of client connections. */
  static Class<? extends Channel> socketChannelType() {
    return Epoll.isAvailable() ? EpollSocketChannel.class : NioSocketChannel.class;
  }

  /** Returns the type of datagram sockets. */
  public static Class<? extends Channel> datagramChannelType() {
    return Epoll.isAvailable() ? EpollDatagramChannel.class : NioDatagramChannel.class;
  }

  /** Returns the options that end a connection whose other end no longer answers. */
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
