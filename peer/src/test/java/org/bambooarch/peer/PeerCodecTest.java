package org.bambooarch.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.UnknownFieldSet;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.bambooarch.core.budget.BudgetMessage;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareAmount;
import org.bambooarch.core.budget.ShareBalance;
import org.bambooarch.core.budget.ShareEntry;
import org.bambooarch.core.budget.ShareEpoch;
import org.bambooarch.core.config.ConfigMessage;
import org.bambooarch.core.config.LoggedChange;
import org.bambooarch.core.peer.PeerMessage;
import org.bambooarch.core.request.crash.CrashEvidence;
import org.bambooarch.core.request.crash.CrashFingerprint;
import org.bambooarch.core.request.crash.CrashMessage;
import org.bambooarch.peer.generated.PeerProtocol.Envelope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PeerCodecTest {

  private record Unregistered() implements PeerMessage {}

  private final PeerCodec codec = PeerCodec.standard();

  static Stream<PeerMessage> messages() {
    return Stream.of(
        new ConfigMessage.HeadProbe(7, 12),
        new ConfigMessage.HeadStatement(7, 12, 13, 0, -1, 5_000_000),
        new ConfigMessage.HeadStatement(7, 12, 13, -1, 4, -1),
        new ConfigMessage.Deltas(List.of(new LoggedChange(13, "{}"), new LoggedChange(14, "é"))),
        new ConfigMessage.PullDeltas(12),
        new ConfigMessage.PullSnapshot(0, 0),
        new ConfigMessage.SnapshotPart(12, 100, 50, "text"),
        new CrashMessage.CrashReport(
            new CrashEvidence(new CrashFingerprint("ab"), "s1", "i1", Long.MAX_VALUE, 2, 3)),
        new CrashMessage.CrashCleared(new CrashFingerprint("ab"), List.of("x", "y"), 9));
  }

  static Stream<PeerMessage> budgetMessages() {
    MemberId from = new MemberId("i1", Long.MAX_VALUE);
    MemberId to = new MemberId("i2", -1);
    ShareAmount amount = new ShareAmount(-5, Long.MIN_VALUE, ShareAmount.WHOLE);
    ShareEntry entry = new ShareEntry("customer/kerala", amount, ShareAmount.NONE, 7, -8);
    List<ShareBalance> balances = List.of(new ShareBalance("link/a", -1, Long.MAX_VALUE));
    ShareEpoch epoch =
        new ShareEpoch(
            9,
            "p",
            List.of(new ShareEpoch.Member(from, 3, true, -4, balances, balances)),
            List.of(new ShareEpoch.FormerMember(to, 1, 2, true)));
    return Stream.of(
        new BudgetMessage.ShareReport(
            from, to, 4, Long.MIN_VALUE, -6, true, false, true, false, true, List.of(entry)),
        new BudgetMessage.ShareReport(
            from, to, 4, 1, 2, false, true, false, true, false, List.of()),
        new BudgetMessage.CloseLedger(from, to, 4, "p", List.of(to)),
        new BudgetMessage.LedgerClosed(from, to, 4, "p", balances, Map.of(to, 7L)),
        new BudgetMessage.EpochNotice(from, to, epoch));
  }

  @ParameterizedTest
  @MethodSource({"messages", "budgetMessages"})
  void should_return_an_equal_message_when_its_encoding_is_decoded(PeerMessage message)
      throws Exception {
    byte[] encoded = codec.encode(message).toByteArray();
    assertThat(codec.decode(Envelope.parseFrom(encoded))).contains(message);
  }

  @Test
  void should_return_empty_when_only_a_newer_version_knows_the_body() throws Exception {
    // given
    UnknownFieldSet newerBody =
        UnknownFieldSet.newBuilder()
            .addField(900, UnknownFieldSet.Field.newBuilder().addVarint(1).build())
            .build();
    Envelope newer = Envelope.newBuilder().setUnknownFields(newerBody).build();
    // when
    Envelope received = Envelope.parseFrom(newer.toByteArray());
    // then
    assertThat(codec.decode(received)).isEmpty();
  }

  @Test
  void should_throw_an_error_with_the_type_when_a_message_has_no_codec() {
    // given
    PeerMessage unregistered = new Unregistered();
    // when / then
    assertThatThrownBy(() -> codec.encode(unregistered)).hasMessageContaining("Unregistered");
  }
}
