package org.bambooarch.peer.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.ReadTimeoutException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Last handler in the pipeline of a connection.
 *
 * <p>Closes the connection on any failure, also when the peer is not authenticated in time, and
 * reports once why it was closed.
 */
final class ConnectionCloseHandler extends ChannelInboundHandlerAdapter {

  private final long handshakeTimeoutMillis;
  private final Consumer<String> onClosed;
  private boolean authenticated;
  private String reason = "closed by the peer";

  ConnectionCloseHandler(long handshakeTimeoutMillis, Consumer<String> onClosed) {
    this.handshakeTimeoutMillis = handshakeTimeoutMillis;
    this.onClosed = onClosed;
  }

  void markAuthenticated() {
    authenticated = true;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    context
        .executor()
        .schedule(
            () -> closeIfUnauthenticated(context), handshakeTimeoutMillis, TimeUnit.MILLISECONDS);
  }

  private void closeIfUnauthenticated(ChannelHandlerContext context) {
    if (!authenticated && context.channel().isOpen()) {
      reason = "no proof of the shared secret received within " + handshakeTimeoutMillis + " ms";
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
    onClosed.accept(reason);
  }

  private static String describe(Throwable cause) {
    return switch (cause) {
      case ReadTimeoutException timeout ->
          "no sign of life (no data or no pong) within the liveness timeout";
      case DecoderException wrapped when wrapped.getCause() != null ->
          wrapped.getCause().getMessage();
      default -> String.valueOf(cause.getMessage());
    };
  }
}
