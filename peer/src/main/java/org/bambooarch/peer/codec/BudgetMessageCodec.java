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

/** Maps the messages that move shares of the customers' budgets. */
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
            .setFrom(ShareRecordCodec.toProto(message.from()))
            .setTo(ShareRecordCodec.toProto(message.to()));
    switch (message) {
      case BudgetMessage.ShareReport report -> body.setShareReport(toProto(report));
      case BudgetMessage.CloseLedger close -> body.setCloseLedger(toProto(close));
      case BudgetMessage.LedgerClosed closed -> body.setLedgerClosed(toProto(closed));
      case BudgetMessage.EpochNotice notice ->
          body.setEpochNotice(ShareRecordCodec.toProto(notice.epoch()));
    }
    return Envelope.newBuilder().setBudget(body).build();
  }

  @Override
  public Optional<BudgetMessage> decode(Envelope envelope) {
    BudgetBody body = envelope.getBudget();
    MemberId from = ShareRecordCodec.fromProto(body.getFrom());
    MemberId to = ShareRecordCodec.fromProto(body.getTo());
    return switch (body.getMessageCase()) {
      case SHARE_REPORT -> Optional.of(fromProto(from, to, body.getShareReport()));
      case CLOSE_LEDGER -> Optional.of(fromProto(from, to, body.getCloseLedger()));
      case LEDGER_CLOSED -> Optional.of(fromProto(from, to, body.getLedgerClosed()));
      case EPOCH_NOTICE ->
          Optional.of(
              new BudgetMessage.EpochNotice(
                  from, to, ShareRecordCodec.fromProto(body.getEpochNotice())));
      case MESSAGE_NOT_SET -> Optional.empty();
    };
  }

  private static PeerProtocol.ShareReport toProto(BudgetMessage.ShareReport report) {
    return PeerProtocol.ShareReport.newBuilder()
        .setEpoch(report.epoch())
        .setStampNanos(report.stampNanos())
        .setEchoNanos(report.echoNanos())
        .setEchoed(report.echoed())
        .setVouches(report.renewsLease())
        .setFrozen(report.anyLedgerClosed())
        .setLeaving(report.leaving())
        .setLedgerClosed(report.ledgerClosed())
        .addAllEntries(report.entries().stream().map(ShareRecordCodec::toProto).toList())
        .build();
  }

  private static BudgetMessage fromProto(
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
        report.getEntriesList().stream().map(ShareRecordCodec::fromProto).toList());
  }

  private static PeerProtocol.CloseLedger toProto(BudgetMessage.CloseLedger close) {
    return PeerProtocol.CloseLedger.newBuilder()
        .setEpoch(close.epoch())
        .setProposal(close.proposal())
        .addAllDead(close.dead().stream().map(ShareRecordCodec::toProto).toList())
        .build();
  }

  private static BudgetMessage fromProto(
      MemberId from, MemberId to, PeerProtocol.CloseLedger close) {
    List<MemberId> dead = close.getDeadList().stream().map(ShareRecordCodec::fromProto).toList();
    return new BudgetMessage.CloseLedger(from, to, close.getEpoch(), close.getProposal(), dead);
  }

  private static PeerProtocol.LedgerClosed toProto(BudgetMessage.LedgerClosed closed) {
    PeerProtocol.LedgerClosed.Builder builder =
        PeerProtocol.LedgerClosed.newBuilder()
            .setEpoch(closed.epoch())
            .setProposal(closed.proposal())
            .addAllBalances(closed.balances().stream().map(ShareRecordCodec::toProto).toList());
    closed
        .knownEpochs()
        .forEach(
            (member, epoch) ->
                builder.addKnownEpochs(
                    PeerProtocol.KnownEpoch.newBuilder()
                        .setMember(ShareRecordCodec.toProto(member))
                        .setEpoch(epoch)));
    return builder.build();
  }

  private static BudgetMessage fromProto(
      MemberId from, MemberId to, PeerProtocol.LedgerClosed closed) {
    Map<MemberId, Long> knownEpochs = new HashMap<>();
    for (PeerProtocol.KnownEpoch known : closed.getKnownEpochsList()) {
      knownEpochs.put(ShareRecordCodec.fromProto(known.getMember()), known.getEpoch());
    }
    return new BudgetMessage.LedgerClosed(
        from,
        to,
        closed.getEpoch(),
        closed.getProposal(),
        closed.getBalancesList().stream().map(ShareRecordCodec::fromProto).toList(),
        knownEpochs);
  }
}
