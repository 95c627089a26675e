package org.bambooarch.peer.codec;

import java.util.List;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareAmount;
import org.bambooarch.core.budget.ShareBalance;
import org.bambooarch.core.budget.ShareEntry;
import org.bambooarch.core.budget.ShareEpoch;
import org.bambooarch.peer.generated.PeerProtocol;

/** Maps the records inside the messages of the budgets. */
final class ShareRecords {

  private ShareRecords() {}

  static PeerProtocol.MemberId memberId(MemberId id) {
    return PeerProtocol.MemberId.newBuilder()
        .setName(id.name())
        .setIncarnation(id.incarnation())
        .build();
  }

  static MemberId memberId(PeerProtocol.MemberId id) {
    return new MemberId(id.getName(), id.getIncarnation());
  }

  static PeerProtocol.ShareEntry entry(ShareEntry entry) {
    return PeerProtocol.ShareEntry.newBuilder()
        .setResource(entry.resource())
        .setSentTotal(amount(entry.sentTotal()))
        .setHeld(amount(entry.held()))
        .setDemandMilliQuantaPerSecond(entry.demandMilliQuantaPerSecond())
        .setWantedUnits(entry.wantedUnits())
        .build();
  }

  static ShareEntry entry(PeerProtocol.ShareEntry entry) {
    return new ShareEntry(
        entry.getResource(),
        amount(entry.getSentTotal()),
        amount(entry.getHeld()),
        entry.getDemandMilliQuantaPerSecond(),
        entry.getWantedUnits());
  }

  private static PeerProtocol.ShareAmount amount(ShareAmount amount) {
    return PeerProtocol.ShareAmount.newBuilder()
        .setRateUnits(amount.rateUnits())
        .setFullUnits(amount.fullUnits())
        .setEmptyUnits(amount.emptyUnits())
        .build();
  }

  private static ShareAmount amount(PeerProtocol.ShareAmount amount) {
    return new ShareAmount(amount.getRateUnits(), amount.getFullUnits(), amount.getEmptyUnits());
  }

  static PeerProtocol.ShareBalance balance(ShareBalance balance) {
    return PeerProtocol.ShareBalance.newBuilder()
        .setResource(balance.resource())
        .setRateUnits(balance.rateUnits())
        .setCapacityUnits(balance.capacityUnits())
        .build();
  }

  static ShareBalance balance(PeerProtocol.ShareBalance balance) {
    return new ShareBalance(
        balance.getResource(), balance.getRateUnits(), balance.getCapacityUnits());
  }

  static PeerProtocol.EpochNotice epoch(ShareEpoch epoch) {
    PeerProtocol.EpochNotice.Builder notice =
        PeerProtocol.EpochNotice.newBuilder()
            .setNumber(epoch.number())
            .setProposal(epoch.proposal());
    for (ShareEpoch.Member member : epoch.members()) {
      notice.addMembers(member(member));
    }
    for (ShareEpoch.FormerMember former : epoch.former()) {
      notice.addFormer(
          PeerProtocol.FormerMember.newBuilder()
              .setId(memberId(former.id()))
              .setJoinedEpoch(former.joinedEpoch())
              .setRemovedEpoch(former.removedEpoch())
              .setStopped(former.stopped()));
    }
    return notice.build();
  }

  static ShareEpoch epoch(PeerProtocol.EpochNotice notice) {
    List<ShareEpoch.Member> members =
        notice.getMembersList().stream().map(ShareRecords::member).toList();
    List<ShareEpoch.FormerMember> former =
        notice.getFormerList().stream().map(ShareRecords::former).toList();
    return new ShareEpoch(notice.getNumber(), notice.getProposal(), members, former);
  }

  private static ShareEpoch.FormerMember former(PeerProtocol.FormerMember former) {
    return new ShareEpoch.FormerMember(
        memberId(former.getId()),
        former.getJoinedEpoch(),
        former.getRemovedEpoch(),
        former.getStopped());
  }

  private static PeerProtocol.EpochMember member(ShareEpoch.Member member) {
    return PeerProtocol.EpochMember.newBuilder()
        .setId(memberId(member.id()))
        .setJoinedEpoch(member.joinedEpoch())
        .setStopped(member.stopped())
        .setBaseUnits(member.baseUnits())
        .addAllExtras(member.extras().stream().map(ShareRecords::balance).toList())
        .addAllSettled(member.settled().stream().map(ShareRecords::balance).toList())
        .build();
  }

  private static ShareEpoch.Member member(PeerProtocol.EpochMember member) {
    return new ShareEpoch.Member(
        memberId(member.getId()),
        member.getJoinedEpoch(),
        member.getStopped(),
        member.getBaseUnits(),
        member.getExtrasList().stream().map(ShareRecords::balance).toList(),
        member.getSettledList().stream().map(ShareRecords::balance).toList());
  }
}
