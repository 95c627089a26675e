package org.bambooarch.peer.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/** Writes frames with a length prefix of 4 bytes. */
final class FrameWriter {

  /** Bytes that a session frame adds to its payload: length prefix and authentication code. */
  static final int OVERHEAD_BYTES = Integer.BYTES + FrameAuthenticator.MAC_BYTES;

  private FrameWriter() {}

  static ChannelFuture write(Channel channel, byte[] frame) {
    ByteBuf buffer = channel.alloc().buffer(Integer.BYTES + frame.length);
    buffer.writeInt(frame.length);
    buffer.writeBytes(frame);
    return channel.writeAndFlush(buffer);
  }
}
