package org.bambooarch.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes the bytes that a server sent on to the decoder, as long as the connection accepts them.
 *
 * <p>The decoder discards some bytes and waits for the rest of others, so that the connection does
 * not see them as parts of a response.
 */
final class ReceivedBytesFilter extends ChannelInboundHandlerAdapter {

  private final TargetConnection connection;

  ReceivedBytesFilter(TargetConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes && !connection.acceptsBytes(bytes)) {
      ReferenceCountUtil.release(bytes);
      return;
    }
    context.fireChannelRead(message);
  }
}
