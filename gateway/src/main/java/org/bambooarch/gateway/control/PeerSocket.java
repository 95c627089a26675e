package org.bambooarch.gateway.control;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.gateway.target.NettyTransport;
import org.bambooarch.peer.codec.HeartbeatCodec;
import org.tinylog.Logger;

/**
 * Exchanges heartbeats with other instances as UDP datagrams.
 *
 * <p>Each heartbeat replaces the one before, so lost ones are not sent again.
 */
public final class PeerSocket {

  private final ControlState state;
  private final Channel channel;

  private PeerSocket(ControlState state, Channel channel) {
    this.state = state;
    this.channel = channel;
  }

  /**
   * Binds the socket to a UDP address and starts to receive; blocks until it is bound.
   *
   * @throws IOException if the address cannot be bound; the message names it
   */
  public static PeerSocket bind(ControlState state, InetSocketAddress address, EventLoop loop)
      throws IOException {
    ChannelFuture bound =
        new Bootstrap()
            .group(loop)
            .channel(NettyTransport.datagramChannelType())
            .handler(new Receiver(state))
            .bind(address)
            .awaitUninterruptibly();
    if (bound.cause() instanceof IOException cause) {
      throw new IOException("UDP " + address + ": " + cause.getMessage(), cause);
    }
    // Another failure does not concern the address and is thrown as it is.
    return new PeerSocket(state, bound.syncUninterruptibly().channel());
  }

  /** Sends a heartbeat to every known instance. Called on the event loop only. */
  public void sendHeartbeats() {
    byte[] bytes = HeartbeatCodec.encode(state.createHeartbeat());
    for (InstanceIdentity instance :
        state.fleet().takeHeartbeatRecipients(state.clock().monotonicNanos())) {
      ByteBuf content = Unpooled.wrappedBuffer(bytes);
      channel.write(new DatagramPacket(content, addressOf(instance)), channel.voidPromise());
    }
    channel.flush();
  }

  /** Closes the socket, and blocks until it is closed. */
  public void close() {
    channel.close().syncUninterruptibly();
  }

  /** Returns the address of an instance for heartbeats (UDP) and relayed requests (TCP). */
  public static InetSocketAddress addressOf(InstanceIdentity instance) {
    String address = instance.peersAddress();
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    private final ControlState state;

    private Receiver(ControlState state) {
      this.state = state;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      try {
        state.onHeartbeat(HeartbeatCodec.decode(ByteBufUtil.getBytes(packet.content())));
      } catch (InvalidProtocolBufferException e) {
        Logger.warn(
            "event=heartbeat-unreadable sender={} reason=\"datagram ignored: {}\"",
            packet.sender(),
            e.getMessage());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A datagram to an instance that has just ended is reported as an error of this socket
      // (ICMP).
      Logger.debug("event=heartbeat-socket reason=\"{}\"", cause.toString());
    }
  }
}
