package org.bambooarch.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpConstants;
import java.nio.charset.StandardCharsets;

/**
 * Writes the bytes of 0x80 and above in a request target as the client sent them.
 *
 * <p>The decoder makes a character of each byte, but Netty's encoder writes targets in UTF-8, in
 * which such a character takes two bytes. This handler, between the encoder and the connection,
 * reverts that in the request line of a head that was announced by {@link #beforeHead}.
 */
final class RequestTargetEncoder extends ChannelOutboundHandlerAdapter {

  private static final int MAX_ASCII = 0x7f;
  private static final int MAX_BYTE = 0xff;

  private boolean headFollows;

  /** Announces that the next bytes are the head of a request with the given target. */
  void beforeHead(String target) {
    headFollows =
        target.chars().anyMatch(c -> c > MAX_ASCII) && target.chars().allMatch(c -> c <= MAX_BYTE);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (!headFollows || !(message instanceof ByteBuf encoded)) {
      context.write(message, promise);
      return;
    }
    headFollows = false;
    try {
      context.write(decodeRequestLine(context, encoded), promise);
    } finally {
      encoded.release();
    }
  }

  private static ByteBuf decodeRequestLine(ChannelHandlerContext context, ByteBuf encoded) {
    int lineLength = encoded.bytesBefore(HttpConstants.CR);
    String line = encoded.readString(lineLength, StandardCharsets.UTF_8);
    ByteBuf head = context.alloc().buffer(lineLength + encoded.readableBytes());
    head.writeCharSequence(line, StandardCharsets.ISO_8859_1);
    return head.writeBytes(encoded);
  }
}
