package org.bambooarch.peer.internal;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class FrameAuthenticatorTest {

  private final FrameAuthenticator sender = new FrameAuthenticator(key());
  private final FrameAuthenticator receiver = new FrameAuthenticator(key());

  private static byte[] key() {
    return "key of one direction".getBytes(UTF_8);
  }

  private byte[] seal(String payload) {
    return sender.seal(payload.getBytes(UTF_8));
  }

  @Test
  void should_return_the_payloads_when_frames_are_opened_in_the_order_of_sealing()
      throws Exception {
    assertThat(receiver.open(seal("first"))).asString(UTF_8).isEqualTo("first");
    assertThat(receiver.open(seal("second"))).asString(UTF_8).isEqualTo("second");
  }

  @Test
  void should_reject_a_frame_when_one_bit_was_changed() {
    // given
    byte[] frame = seal("withdraw");
    frame[frame.length - 1] ^= 1;
    // when / then
    assertThatThrownBy(() -> receiver.open(frame)).isInstanceOf(FrameException.class);
  }

  @Test
  void should_reject_a_frame_when_it_arrives_twice() throws Exception {
    // given
    byte[] frame = seal("transfer");
    receiver.open(frame);
    // when / then
    assertThatThrownBy(() -> receiver.open(frame)).hasMessageContaining("frame 1");
  }

  @Test
  void should_reject_a_frame_when_an_earlier_one_is_missing() {
    // given
    seal("lost");
    byte[] next = seal("next");
    // when / then
    assertThatThrownBy(() -> receiver.open(next)).isInstanceOf(FrameException.class);
  }
}
