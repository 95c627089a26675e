package org.bambooarch.peer.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.bambooarch.peer.generated.PeerProtocol.Envelope;
import org.bambooarch.peer.generated.PeerProtocol.Pong;

/**
 * An authenticated connection that a peer opened.
 *
 * <p>Receives the peer's messages and answers its pings. Messages to the peer are sent on it while
 * this instance has no connection of its own to the peer.
 */
final class AcceptorSession extends SimpleChannelInboundHandler<byte[]> {

  private final String instance;
  private final SessionAuthenticators authenticators;
  private final Inbox inbox;

  AcceptorSession(String instance, SessionAuthenticators authenticators, Inbox inbox) {
    this.instance = instance;
    this.authenticators = authenticators;
    this.inbox = inbox;
  }

  /**
   * Sends an encoded envelope on this connection.
   *
   * <p>It is dropped without being counted if the peer reads so slowly that the channel is not
   * writable, or if it is larger than a frame may be. May be called on any thread.
   */
  void send(Channel channel, byte[] payload) {
    channel.eventLoop().execute(() -> write(channel, payload));
  }

  private void write(Channel channel, byte[] payload) {
    boolean fits =
        payload.length + FrameAuthenticator.MAC_BYTES <= FrameDecoder.MAX_SESSION_FRAME_BYTES;
    if (channel.isWritable() && fits) {
      FrameWriter.write(channel, authenticators.acceptor().seal(payload));
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, byte[] frame) throws Exception {
    inbox.countBytes(Integer.BYTES + frame.length);
    Envelope envelope = Inbox.parse(authenticators.opener().open(frame));
    if (envelope.getBodyCase() == Envelope.BodyCase.PING) {
      answerPing(context, envelope.getPing().getNumber());
      return;
    }
    inbox.receive(instance, envelope);
  }

  private void answerPing(ChannelHandlerContext context, long number) {
    if (!context.channel().isWritable()) {
      // The peer sends pings without reading the pongs; queued pongs must not use up memory.
      context.close();
      return;
    }
    Pong pong = Pong.newBuilder().setNumber(number).build();
    byte[] answer = Envelope.newBuilder().setPong(pong).build().toByteArray();
    FrameWriter.write(context.channel(), authenticators.acceptor().seal(answer));
  }
}
