package org.bambooarch.peer.codec;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bambooarch.core.budget.BudgetMessage;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.peer.MessageCodec;
import org.bambooarch.peer.generated.PeerProtocol;
import org.bambooarch.peer.generated.PeerProtocol.BudgetBody;
import org.bambooarch.peer.generated.PeerProtocol.Envelope;

/** Converts the messages by which instances exchange shares of the customers' budgets. */
public final class BudgetMessageCodec implements MessageCodec<BudgetMessage> {

  @Override
  public Class<BudgetMessage> messageType() {
    return BudgetMessage.class;
  }

  @Override
  public Envelope.BodyCase bodyCase() {
    return Envelope.BodyCase.BUDGET;
  }

  @Override
  public Envelope encode(BudgetMessage message) {
    BudgetBody.Builder body =
        BudgetBody.newBuilder()
            .setFrom(ShareRecordCodec.encodeMemberId(message.from()))
            .setTo(ShareRecordCodec.encodeMemberId(message.to()));
    switch (message) {
      case BudgetMessage.ShareReport report -> body.setShareReport(encodeShareReport(report));
      case BudgetMessage.CloseLedger close -> body.setCloseLedger(encodeCloseLedger(close));
      case BudgetMessage.LedgerClosed closed -> body.setLedgerClosed(encodeLedgerClosed(closed));
      case BudgetMessage.EpochNotice notice ->
          body.setEpochNotice(ShareRecordCodec.encodeEpoch(notice.epoch()));
    }
    return Envelope.newBuilder().setBudget(body).build();
  }

  @Override
  public Optional<BudgetMessage> decode(Envelope envelope) {
    BudgetBody body = envelope.getBudget();
    MemberId from = ShareRecordCodec.decodeMemberId(body.getFrom());
    MemberId to = ShareRecordCodec.decodeMemberId(body.getTo());
    return switch (body.getMessageCase()) {
      case SHARE_REPORT -> Optional.of(decodeShareReport(from, to, body.getShareReport()));
      case CLOSE_LEDGER -> Optional.of(decodeCloseLedger(from, to, body.getCloseLedger()));
      case LEDGER_CLOSED -> Optional.of(decodeLedgerClosed(from, to, body.getLedgerClosed()));
      case EPOCH_NOTICE ->
          Optional.of(
              new BudgetMessage.EpochNotice(
                  from, to, ShareRecordCodec.decodeEpoch(body.getEpochNotice())));
      case MESSAGE_NOT_SET -> Optional.empty();
    };
  }

  private static PeerProtocol.ShareReport encodeShareReport(BudgetMessage.ShareReport report) {
    return PeerProtocol.ShareReport.newBuilder()
        .setEpoch(report.epoch())
        .setStampNanos(report.stampNanos())
        .setEchoNanos(report.echoNanos())
        .setEchoed(report.echoed())
        .setVouches(report.renewsLease())
        .setFrozen(report.anyLedgerClosed())
        .setLeaving(report.leaving())
        .setLedgerClosed(report.ledgerClosed())
        .addAllEntries(report.entries().stream().map(ShareRecordCodec::encodeEntry).toList())
        .build();
  }

  private static BudgetMessage decodeShareReport(
      MemberId from, MemberId to, PeerProtocol.ShareReport report) {
    return new BudgetMessage.ShareReport(
        from,
        to,
        report.getEpoch(),
        report.getStampNanos(),
        report.getEchoNanos(),
        report.getEchoed(),
        report.getVouches(),
        report.getFrozen(),
        report.getLeaving(),
        report.getLedgerClosed(),
        report.getEntriesList().stream().map(ShareRecordCodec::decodeEntry).toList());
  }

  private static PeerProtocol.CloseLedger encodeCloseLedger(BudgetMessage.CloseLedger close) {
    return PeerProtocol.CloseLedger.newBuilder()
        .setEpoch(close.epoch())
        .setProposal(close.proposal())
        .addAllDead(close.dead().stream().map(ShareRecordCodec::encodeMemberId).toList())
        .build();
  }

  private static BudgetMessage decodeCloseLedger(
      MemberId from, MemberId to, PeerProtocol.CloseLedger close) {
    List<MemberId> dead =
        close.getDeadList().stream().map(ShareRecordCodec::decodeMemberId).toList();
    return new BudgetMessage.CloseLedger(from, to, close.getEpoch(), close.getProposal(), dead);
  }

  private static PeerProtocol.LedgerClosed encodeLedgerClosed(BudgetMessage.LedgerClosed closed) {
    PeerProtocol.LedgerClosed.Builder builder =
        PeerProtocol.LedgerClosed.newBuilder()
            .setEpoch(closed.epoch())
            .setProposal(closed.proposal())
            .addAllBalances(
                closed.balances().stream().map(ShareRecordCodec::encodeBalance).toList());
    closed
        .knownEpochs()
        .forEach(
            (member, epoch) ->
                builder.addKnownEpochs(
                    PeerProtocol.KnownEpoch.newBuilder()
                        .setMember(ShareRecordCodec.encodeMemberId(member))
                        .setEpoch(epoch)));
    return builder.build();
  }

  private static BudgetMessage decodeLedgerClosed(
      MemberId from, MemberId to, PeerProtocol.LedgerClosed closed) {
    Map<MemberId, Long> knownEpochs = new HashMap<>();
    for (PeerProtocol.KnownEpoch known : closed.getKnownEpochsList()) {
      knownEpochs.put(ShareRecordCodec.decodeMemberId(known.getMember()), known.getEpoch());
    }
    return new BudgetMessage.LedgerClosed(
        from,
        to,
        closed.getEpoch(),
        closed.getProposal(),
        closed.getBalancesList().stream().map(ShareRecordCodec::decodeBalance).toList(),
        knownEpochs);
  }
}
