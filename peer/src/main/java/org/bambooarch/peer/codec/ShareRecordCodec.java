package org.bambooarch.peer.codec;

import java.util.List;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareAmount;
import org.bambooarch.core.budget.ShareBalance;
import org.bambooarch.core.budget.ShareEntry;
import org.bambooarch.core.budget.ShareEpoch;
import org.bambooarch.peer.generated.PeerProtocol;

/** Maps the records inside the messages of the budgets. */
final class ShareRecordCodec {

  private ShareRecordCodec() {}

  static PeerProtocol.MemberId toProto(MemberId id) {
    return PeerProtocol.MemberId.newBuilder()
        .setName(id.name())
        .setIncarnation(id.incarnation())
        .build();
  }

  static MemberId fromProto(PeerProtocol.MemberId id) {
    return new MemberId(id.getName(), id.getIncarnation());
  }

  static PeerProtocol.ShareEntry toProto(ShareEntry entry) {
    return PeerProtocol.ShareEntry.newBuilder()
        .setResource(entry.resource())
        .setSentTotal(toProto(entry.sentTotal()))
        .setHeld(toProto(entry.held()))
        .setDemandMilliQuantaPerSecond(entry.demandMilliQuantaPerSecond())
        .setWantedUnits(entry.wantedUnits())
        .build();
  }

  static ShareEntry fromProto(PeerProtocol.ShareEntry entry) {
    return new ShareEntry(
        entry.getResource(),
        fromProto(entry.getSentTotal()),
        fromProto(entry.getHeld()),
        entry.getDemandMilliQuantaPerSecond(),
        entry.getWantedUnits());
  }

  private static PeerProtocol.ShareAmount toProto(ShareAmount amount) {
    return PeerProtocol.ShareAmount.newBuilder()
        .setRateUnits(amount.rateUnits())
        .setFullUnits(amount.fullUnits())
        .setEmptyUnits(amount.emptyUnits())
        .build();
  }

  private static ShareAmount fromProto(PeerProtocol.ShareAmount amount) {
    return new ShareAmount(amount.getRateUnits(), amount.getFullUnits(), amount.getEmptyUnits());
  }

  static PeerProtocol.ShareBalance toProto(ShareBalance balance) {
    return PeerProtocol.ShareBalance.newBuilder()
        .setResource(balance.resource())
        .setRateUnits(balance.rateUnits())
        .setCapacityUnits(balance.capacityUnits())
        .build();
  }

  static ShareBalance fromProto(PeerProtocol.ShareBalance balance) {
    return new ShareBalance(
        balance.getResource(), balance.getRateUnits(), balance.getCapacityUnits());
  }

  static PeerProtocol.EpochNotice toProto(ShareEpoch epoch) {
    PeerProtocol.EpochNotice.Builder notice =
        PeerProtocol.EpochNotice.newBuilder()
            .setNumber(epoch.number())
            .setProposal(epoch.proposal());
    for (ShareEpoch.Member member : epoch.members()) {
      notice.addMembers(toProto(member));
    }
    for (ShareEpoch.FormerMember former : epoch.former()) {
      notice.addFormer(
          PeerProtocol.FormerMember.newBuilder()
              .setId(toProto(former.id()))
              .setJoinedEpoch(former.joinedEpoch())
              .setRemovedEpoch(former.removedEpoch())
              .setStopped(former.stopped()));
    }
    return notice.build();
  }

  static ShareEpoch fromProto(PeerProtocol.EpochNotice notice) {
    List<ShareEpoch.Member> members =
        notice.getMembersList().stream().map(ShareRecordCodec::fromProto).toList();
    List<ShareEpoch.FormerMember> former =
        notice.getFormerList().stream().map(ShareRecordCodec::fromProto).toList();
    return new ShareEpoch(notice.getNumber(), notice.getProposal(), members, former);
  }

  private static ShareEpoch.FormerMember fromProto(PeerProtocol.FormerMember former) {
    return new ShareEpoch.FormerMember(
        fromProto(former.getId()),
        former.getJoinedEpoch(),
        former.getRemovedEpoch(),
        former.getStopped());
  }

  private static PeerProtocol.EpochMember toProto(ShareEpoch.Member member) {
    return PeerProtocol.EpochMember.newBuilder()
        .setId(toProto(member.id()))
        .setJoinedEpoch(member.joinedEpoch())
        .setStopped(member.stopped())
        .setBaseUnits(member.baseUnits())
        .addAllExtras(member.extras().stream().map(ShareRecordCodec::toProto).toList())
        .addAllSettled(member.settled().stream().map(ShareRecordCodec::toProto).toList())
        .build();
  }

  private static ShareEpoch.Member fromProto(PeerProtocol.EpochMember member) {
    return new ShareEpoch.Member(
        fromProto(member.getId()),
        member.getJoinedEpoch(),
        member.getStopped(),
        member.getBaseUnits(),
        member.getExtrasList().stream().map(ShareRecordCodec::fromProto).toList(),
        member.getSettledList().stream().map(ShareRecordCodec::fromProto).toList());
  }
}
