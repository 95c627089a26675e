package org.bambooarch.peer.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.ReadTimeoutException;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.bambooarch.peer.generated.PeerProtocol.Envelope;
import org.bambooarch.peer.generated.PeerProtocol.Ping;

/**
 * An authenticated connection that this instance opened.
 *
 * <p>Messages and pings are sent on it. A peer that does not know this instance's address sends its
 * messages on it too. Only an answered ping shows that data gets through in both directions;
 * without one within the liveness timeout the connection is closed.
 */
final class OpenerSession extends SimpleChannelInboundHandler<byte[]> {

  private final String instance;
  private final SessionAuthenticators authenticators;
  private final Inbox inbox;
  private final Duration pingInterval;
  private final Duration livenessTimeout;
  private ScheduledFuture<?> pings;
  private long nextPingNumber;
  private long lastPongNanos;

  OpenerSession(
      String instance,
      SessionAuthenticators authenticators,
      Inbox inbox,
      Duration pingInterval,
      Duration livenessTimeout) {
    this.instance = instance;
    this.authenticators = authenticators;
    this.inbox = inbox;
    this.pingInterval = pingInterval;
    this.livenessTimeout = livenessTimeout;
  }

  byte[] seal(byte[] payload) {
    return authenticators.opener().seal(payload);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    lastPongNanos = System.nanoTime();
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
    inbox.countBytes(Integer.BYTES + frame.length);
    Envelope envelope = Inbox.parse(authenticators.acceptor().open(frame));
    if (envelope.getBodyCase() == Envelope.BodyCase.PONG) {
      lastPongNanos = System.nanoTime();
      return;
    }
    inbox.receive(instance, envelope);
  }

  private void ping(ChannelHandlerContext context) {
    if (System.nanoTime() - lastPongNanos > livenessTimeout.toNanos()) {
      context.fireExceptionCaught(ReadTimeoutException.INSTANCE);
      return;
    }
    Ping ping = Ping.newBuilder().setNumber(nextPingNumber++).build();
    byte[] payload = Envelope.newBuilder().setPing(ping).build().toByteArray();
    FrameWriter.write(context.channel(), seal(payload));
  }
}
