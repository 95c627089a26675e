package org.bambooarch.peer.internal;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.bambooarch.peer.PeerSettings;
import org.bambooarch.peer.Secret;
import org.bambooarch.peer.generated.PeerProtocol.Hello;
import org.bambooarch.peer.generated.PeerProtocol.Proof;

/**
 * The handshake of the side that accepted the connection.
 *
 * <p>Answers the opener's hello with its own hello and proof, then checks the opener's proof.
 */
final class AcceptorHandshake extends SimpleChannelInboundHandler<byte[]> {

  /** Takes over a connection once its peer is authenticated. */
  @FunctionalInterface
  interface AuthenticationListener {
    void onAuthenticated(
        ChannelHandlerContext context, String instance, SessionAuthenticators authenticators);
  }

  private final PeerSettings settings;
  private final AuthenticationListener listener;
  private Secret secret;
  private Hello remoteHello;
  private Hello ownHello;

  AcceptorHandshake(PeerSettings settings, AuthenticationListener listener) {
    this.settings = settings;
    this.listener = listener;
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
    SessionAuthenticators authenticators =
        SessionAuthenticators.derive(secret, remoteHello, ownHello);
    listener.onAuthenticated(context, remoteHello.getInstance(), authenticators);
  }

  private void answerHello(ChannelHandlerContext context, Hello remote) throws HandshakeException {
    Handshake.checkHello(remote);
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
    FrameWriter.write(context.channel(), answer.toByteArray());
  }
}
