package org.bambooarch.peer.codec;

import java.util.List;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareAmount;
import org.bambooarch.core.budget.ShareBalance;
import org.bambooarch.core.budget.ShareEntry;
import org.bambooarch.core.budget.ShareEpoch;
import org.bambooarch.peer.generated.PeerProtocol;

/** Converts the records inside the budget messages. */
final class ShareRecordCodec {

  private ShareRecordCodec() {}

  static PeerProtocol.MemberId encodeMemberId(MemberId id) {
    return PeerProtocol.MemberId.newBuilder()
        .setName(id.name())
        .setIncarnation(id.incarnation())
        .build();
  }

  static MemberId decodeMemberId(PeerProtocol.MemberId id) {
    return new MemberId(id.getName(), id.getIncarnation());
  }

  static PeerProtocol.ShareEntry encodeEntry(ShareEntry entry) {
    return PeerProtocol.ShareEntry.newBuilder()
        .setResource(entry.resource())
        .setSentTotal(encodeAmount(entry.sentTotal()))
        .setHeld(encodeAmount(entry.held()))
        .setDemandMilliQuantaPerSecond(entry.demandMilliQuantaPerSecond())
        .setWantedUnits(entry.wantedUnits())
        .build();
  }

  static ShareEntry decodeEntry(PeerProtocol.ShareEntry entry) {
    return new ShareEntry(
        entry.getResource(),
        decodeAmount(entry.getSentTotal()),
        decodeAmount(entry.getHeld()),
        entry.getDemandMilliQuantaPerSecond(),
        entry.getWantedUnits());
  }

  private static PeerProtocol.ShareAmount encodeAmount(ShareAmount amount) {
    return PeerProtocol.ShareAmount.newBuilder()
        .setRateUnits(amount.rateUnits())
        .setFullUnits(amount.fullUnits())
        .setEmptyUnits(amount.emptyUnits())
        .build();
  }

  private static ShareAmount decodeAmount(PeerProtocol.ShareAmount amount) {
    return new ShareAmount(amount.getRateUnits(), amount.getFullUnits(), amount.getEmptyUnits());
  }

  static PeerProtocol.ShareBalance encodeBalance(ShareBalance balance) {
    return PeerProtocol.ShareBalance.newBuilder()
        .setResource(balance.resource())
        .setRateUnits(balance.rateUnits())
        .setCapacityUnits(balance.capacityUnits())
        .build();
  }

  static ShareBalance decodeBalance(PeerProtocol.ShareBalance balance) {
    return new ShareBalance(
        balance.getResource(), balance.getRateUnits(), balance.getCapacityUnits());
  }

  static PeerProtocol.EpochNotice encodeEpoch(ShareEpoch epoch) {
    PeerProtocol.EpochNotice.Builder notice =
        PeerProtocol.EpochNotice.newBuilder()
            .setNumber(epoch.number())
            .setProposal(epoch.proposal());
    for (ShareEpoch.Member member : epoch.members()) {
      notice.addMembers(encodeMember(member));
    }
    for (ShareEpoch.FormerMember former : epoch.former()) {
      notice.addFormer(
          PeerProtocol.FormerMember.newBuilder()
              .setId(encodeMemberId(former.id()))
              .setJoinedEpoch(former.joinedEpoch())
              .setRemovedEpoch(former.removedEpoch())
              .setStopped(former.stopped()));
    }
    return notice.build();
  }

  static ShareEpoch decodeEpoch(PeerProtocol.EpochNotice notice) {
    List<ShareEpoch.Member> members =
        notice.getMembersList().stream().map(ShareRecordCodec::decodeMember).toList();
    List<ShareEpoch.FormerMember> former =
        notice.getFormerList().stream().map(ShareRecordCodec::decodeFormerMember).toList();
    return new ShareEpoch(notice.getNumber(), notice.getProposal(), members, former);
  }

  private static ShareEpoch.FormerMember decodeFormerMember(PeerProtocol.FormerMember former) {
    return new ShareEpoch.FormerMember(
        decodeMemberId(former.getId()),
        former.getJoinedEpoch(),
        former.getRemovedEpoch(),
        former.getStopped());
  }

  private static PeerProtocol.EpochMember encodeMember(ShareEpoch.Member member) {
    return PeerProtocol.EpochMember.newBuilder()
        .setId(encodeMemberId(member.id()))
        .setJoinedEpoch(member.joinedEpoch())
        .setStopped(member.stopped())
        .setBaseUnits(member.baseUnits())
        .addAllExtras(member.extras().stream().map(ShareRecordCodec::encodeBalance).toList())
        .addAllSettled(member.settled().stream().map(ShareRecordCodec::encodeBalance).toList())
        .build();
  }

  private static ShareEpoch.Member decodeMember(PeerProtocol.EpochMember member) {
    return new ShareEpoch.Member(
        decodeMemberId(member.getId()),
        member.getJoinedEpoch(),
        member.getStopped(),
        member.getBaseUnits(),
        member.getExtrasList().stream().map(ShareRecordCodec::decodeBalance).toList(),
        member.getSettledList().stream().map(ShareRecordCodec::decodeBalance).toList());
  }
}
