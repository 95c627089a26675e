package org.bambooarch.peer.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.util.List;
import org.bambooarch.peer.Secret;
import org.bambooarch.peer.generated.PeerProtocol.Hello;
import org.bambooarch.peer.internal.Handshake.Label;
import org.junit.jupiter.api.Test;

class HandshakeTest {

  private static final Secret OLD = Secret.fromText("an old secret of the fleet");
  private static final Secret NEW = Secret.fromText("a new secret of the fleet");

  private final Hello opener = hello("kochi-a-1", 1).setExpectedInstance("tvm-a-1").build();
  private final Hello acceptor = hello("tvm-a-1", 2).build();

  private static Hello.Builder hello(String instance, int fill) {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    nonce[0] = (byte) fill;
    return Hello.newBuilder()
        .setMinVersion(Handshake.MIN_VERSION)
        .setMaxVersion(Handshake.MAX_VERSION)
        .setInstance(instance)
        .setSecretId(Handshake.secretId(NEW))
        .setNonce(ByteString.copyFrom(nonce));
  }

  @Test
  void should_reject_a_proof_when_it_was_made_for_the_other_role() {
    // given
    byte[] reflected = Handshake.derive(NEW, Label.OPENER_PROOF, opener, acceptor);
    byte[] expected = Handshake.derive(NEW, Label.ACCEPTOR_PROOF, opener, acceptor);
    // when / then
    assertThatThrownBy(
            () -> Handshake.checkProof(expected, ByteString.copyFrom(reflected), "tvm-a-1"))
        .isInstanceOf(HandshakeException.class)
        .hasMessageContaining("tvm-a-1");
  }

  @Test
  void should_derive_another_proof_when_a_nonce_or_a_name_differs() {
    // given
    byte[] proof = Handshake.derive(NEW, Label.OPENER_PROOF, opener, acceptor);
    // when
    Hello otherNonce = opener.toBuilder().setNonce(hello("x", 9).getNonce()).build();
    Hello otherName = opener.toBuilder().setInstance("kochi-b-1").build();
    // then
    assertThat(Handshake.derive(NEW, Label.OPENER_PROOF, otherNonce, acceptor)).isNotEqualTo(proof);
    assertThat(Handshake.derive(NEW, Label.OPENER_PROOF, otherName, acceptor)).isNotEqualTo(proof);
  }

  @Test
  void should_find_the_secret_of_the_opener_when_several_secrets_are_accepted() throws Exception {
    assertThat(Handshake.findSecret(List.of(OLD, NEW), opener)).isSameAs(NEW);
    assertThatThrownBy(() -> Handshake.findSecret(List.of(OLD), opener))
        .isInstanceOf(HandshakeException.class);
  }

  @Test
  void should_accept_a_newer_peer_only_when_it_still_supports_a_known_version() {
    // given
    Hello newer = opener.toBuilder().setMaxVersion(Handshake.MAX_VERSION + 3).build();
    Hello tooNew = newer.toBuilder().setMinVersion(Handshake.MAX_VERSION + 1).build();
    // when / then
    assertThatCode(() -> Handshake.checkHello(newer)).doesNotThrowAnyException();
    assertThatThrownBy(() -> Handshake.checkHello(tooNew))
        .isInstanceOf(HandshakeException.class)
        .hasMessageContaining("expected a protocol version in [1, 1], got [2, 4]");
  }
}
