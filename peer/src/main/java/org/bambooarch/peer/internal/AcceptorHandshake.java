package org.bambooarch.peer.internal;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.bambooarch.peer.PeerSettings;
import org.bambooarch.peer.Secret;
import org.bambooarch.peer.generated.PeerProtocol.Hello;
import org.bambooarch.peer.generated.PeerProtocol.Proof;

/** The handshake of the side that accepted the connection. */
final class AcceptorHandshake extends SimpleChannelInboundHandler<byte[]> {

  /** Takes over a connection whose peer is proven. */
  @FunctionalInterface
  interface WhenProven {
    void accept(ChannelHandlerContext context, String instance, SessionKeys keys);
  }

  private final PeerSettings settings;
  private final WhenProven whenProven;
  private Secret secret;
  private Hello remoteHello;
  private Hello ownHello;

  AcceptorHandshake(PeerSettings settings, WhenProven whenProven) {
    this.settings = settings;
    this.whenProven = whenProven;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, byte[] frame) throws Exception {
    if (remoteHello == null) {
      answerHello(context, Hello.parseFrom(frame));
      return;
    }
    Proof proof = Proof.parseFrom(frame);
    byte[] expected = Handshake.derive(secret, Handshake.Label.OPENER_PROOF, remoteHello, ownHello);
    Handshake.checkProof(expected, proof.getProof(), remoteHello.getInstance());
    SessionKeys keys = SessionKeys.derive(secret, remoteHello, ownHello);
    whenProven.accept(context, remoteHello.getInstance(), keys);
  }

  private void answerHello(ChannelHandlerContext context, Hello remote) throws HandshakeException {
    Handshake.check(remote);
    if (!remote.getExpectedInstance().equals(settings.instance())) {
      throw HandshakeException.wrongInstance(remote.getExpectedInstance(), settings.instance());
    }
    secret = Handshake.findSecret(settings.secrets(), remote);
    remoteHello = remote;
    ownHello =
        Hello.newBuilder()
            .setMinVersion(Handshake.MIN_VERSION)
            .setMaxVersion(Handshake.MAX_VERSION)
            .setInstance(settings.instance())
            .setNonce(OpenerHandshake.newNonce())
            .build();
    byte[] proof = Handshake.derive(secret, Handshake.Label.ACCEPTOR_PROOF, remoteHello, ownHello);
    Hello answer = ownHello.toBuilder().setProof(ByteString.copyFrom(proof)).build();
    Frames.write(context.channel(), answer.toByteArray());
  }
}
