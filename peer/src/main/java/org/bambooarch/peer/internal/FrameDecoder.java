package org.bambooarch.peer.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Splits the byte stream into frames with a length prefix of 4 bytes.
 *
 * <p>A frame longer than the limit ends the connection. The limit is low until the peer is
 * authenticated, so that an unauthenticated one cannot make this instance allocate much memory.
 */
public final class FrameDecoder extends ByteToMessageDecoder {

  /** Largest frame before the peer is authenticated, in bytes without the length prefix. */
  public static final int MAX_HANDSHAKE_FRAME_BYTES = 1024;

  /** Largest frame of an authenticated peer, in bytes without the length prefix. */
  public static final int MAX_SESSION_FRAME_BYTES = 64 * 1024;

  private int maxFrameBytes = MAX_HANDSHAKE_FRAME_BYTES;

  /**
   * Raises the limit to {@link #MAX_SESSION_FRAME_BYTES}; call it once the peer is authenticated.
   */
  void allowSessionFrames() {
    maxFrameBytes = MAX_SESSION_FRAME_BYTES;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws FrameException {
    if (in.readableBytes() < Integer.BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length < 0 || length > maxFrameBytes) {
      throw FrameException.tooLong(length, maxFrameBytes);
    }
    if (in.readableBytes() < Integer.BYTES + length) {
      return;
    }
    in.skipBytes(Integer.BYTES);
    byte[] frame = new byte[length];
    in.readBytes(frame);
    out.add(frame);
  }
}
