package org.bambooarch.peer.internal;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.security.SecureRandom;
import java.util.function.BiConsumer;
import org.bambooarch.peer.PeerSettings;
import org.bambooarch.peer.Secret;
import org.bambooarch.peer.generated.PeerProtocol.Hello;
import org.bambooarch.peer.generated.PeerProtocol.Proof;

/**
 * The handshake of the side that opened the connection.
 *
 * <p>Sends its hello, checks the hello and the proof of the accepting side, then sends its own
 * proof.
 */
final class OpenerHandshake extends SimpleChannelInboundHandler<byte[]> {

  private static final SecureRandom RANDOM = new SecureRandom();

  private final Secret secret;
  private final Hello ownHello;
  private final BiConsumer<ChannelHandlerContext, SessionAuthenticators> onAuthenticated;

  OpenerHandshake(
      PeerSettings settings,
      String expectedInstance,
      BiConsumer<ChannelHandlerContext, SessionAuthenticators> onAuthenticated) {
    this.secret = settings.secrets().getFirst();
    this.ownHello = hello(settings, expectedInstance, secret);
    this.onAuthenticated = onAuthenticated;
  }

  static ByteString newNonce() {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    return ByteString.copyFrom(nonce);
  }

  private static Hello hello(PeerSettings settings, String expectedInstance, Secret secret) {
    return Hello.newBuilder()
        .setMinVersion(Handshake.MIN_VERSION)
        .setMaxVersion(Handshake.MAX_VERSION)
        .setInstance(settings.instance())
        .setExpectedInstance(expectedInstance)
        .setNonce(newNonce())
        .setSecretId(Handshake.secretId(secret))
        .build();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    FrameWriter.write(context.channel(), ownHello.toByteArray());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, byte[] frame) throws Exception {
    Hello remote = Hello.parseFrom(frame);
    Handshake.checkHello(remote);
    if (!remote.getInstance().equals(ownHello.getExpectedInstance())) {
      throw HandshakeException.wrongInstance(ownHello.getExpectedInstance(), remote.getInstance());
    }
    byte[] expected = Handshake.derive(secret, Handshake.Label.ACCEPTOR_PROOF, ownHello, remote);
    Handshake.checkProof(expected, remote.getProof(), remote.getInstance());
    byte[] proof = Handshake.derive(secret, Handshake.Label.OPENER_PROOF, ownHello, remote);
    Proof answer = Proof.newBuilder().setProof(ByteString.copyFrom(proof)).build();
    FrameWriter.write(context.channel(), answer.toByteArray());
    onAuthenticated.accept(context, SessionAuthenticators.derive(secret, ownHello, remote));
  }
}
