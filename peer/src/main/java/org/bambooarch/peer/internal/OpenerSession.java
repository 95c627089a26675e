package org.bambooarch.peer.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.bambooarch.peer.generated.PeerProtocol.Envelope;
import org.bambooarch.peer.generated.PeerProtocol.Ping;

/**
 * An authenticated connection that this instance opened: it carries messages and pings out.
 *
 * <p>Only answers to pings come back on it, so that the read timeout in front of this handler
 * retires a connection that has gone silent in either direction.
 */
final class OpenerSession extends SimpleChannelInboundHandler<byte[]> {

  private final SessionKeys keys;
  private final Duration pingInterval;
  private ScheduledFuture<?> pings;
  private long nextPingNumber;

  OpenerSession(SessionKeys keys, Duration pingInterval) {
    this.keys = keys;
    this.pingInterval = pingInterval;
  }

  byte[] seal(byte[] payload) {
    return keys.opener().seal(payload);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    long intervalNanos = pingInterval.toNanos();
    pings =
        context
            .executor()
            .scheduleWithFixedDelay(
                () -> ping(context), intervalNanos, intervalNanos, TimeUnit.NANOSECONDS);
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    pings.cancel(false);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, byte[] frame) throws Exception {
    // A pong needs no action: its arrival has already reset the read timeout.
    Inbox.parse(keys.acceptor().open(frame));
  }

  private void ping(ChannelHandlerContext context) {
    Ping ping = Ping.newBuilder().setNumber(nextPingNumber++).build();
    byte[] payload = Envelope.newBuilder().setPing(ping).build().toByteArray();
    Frames.write(context.channel(), seal(payload));
  }
}
