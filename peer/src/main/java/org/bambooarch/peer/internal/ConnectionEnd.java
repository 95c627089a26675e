package org.bambooarch.peer.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.ReadTimeoutException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Last handler of a connection: closes it on any failure and reports why it ended, once. */
final class ConnectionEnd extends ChannelInboundHandlerAdapter {

  private final long handshakeLimitMillis;
  private final Consumer<String> whenEnded;
  private boolean proven;
  private String reason = "closed by the peer";

  ConnectionEnd(long handshakeLimitMillis, Consumer<String> whenEnded) {
    this.handshakeLimitMillis = handshakeLimitMillis;
    this.whenEnded = whenEnded;
  }

  void markProven() {
    proven = true;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    context
        .executor()
        .schedule(() -> closeUnproven(context), handshakeLimitMillis, TimeUnit.MILLISECONDS);
  }

  private void closeUnproven(ChannelHandlerContext context) {
    if (!proven && context.channel().isOpen()) {
      reason = "no proof of the shared secret within " + handshakeLimitMillis + " ms";
      context.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    reason = describe(cause);
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    whenEnded.accept(reason);
  }

  private static String describe(Throwable cause) {
    return switch (cause) {
      case ReadTimeoutException silent -> "no sign of life within the silence limit";
      case DecoderException wrapped when wrapped.getCause() != null ->
          wrapped.getCause().getMessage();
      default -> String.valueOf(cause.getMessage());
    };
  }
}
