package org.bambooarch.gateway.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.epoll.Epoll;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

class SinceLastDataTest {

  @Test
  void should_tell_nothing_of_a_connection_without_the_epoll_transport() {
    assertThat(NettyTransport.sinceLastDataNanos(new EmbeddedChannel())).isEmpty();
  }

  @Test
  void should_tell_of_an_open_connection_if_epoll_is_available_and_of_none_that_is_closed()
      throws IOException {
    EventLoopGroup eventLoops = NettyTransport.newSingleThreadGroup();
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Channel channel =
          new Bootstrap()
              .group(eventLoops)
              .channel(NettyTransport.socketChannelType())
              .handler(new ChannelInboundHandlerAdapter())
              .connect(new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()))
              .syncUninterruptibly()
              .channel();
      assertThat(NettyTransport.sinceLastDataNanos(channel).isPresent())
          .isEqualTo(Epoll.isAvailable());

      channel.close().syncUninterruptibly();

      assertThat(NettyTransport.sinceLastDataNanos(channel)).isEmpty();
    } finally {
      eventLoops.shutdownGracefully();
    }
  }
}
