package org.bambooarch.core.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The members that hold shares, and what each was granted, as stored in one row of the platform's
 * table.
 *
 * <p>Each member's nominal holding of a resource is its base plus its extra. What it really holds
 * is the nominal holding plus all that it received from other members less all that it sent them.
 *
 * @param number number of the epoch, one higher after each change
 * @param proposal unique identifier of the change that made this epoch, by which the change is
 *     recognised if the answer of the store was lost
 * @param members the current members
 * @param former members that were removed in recent epochs, latest last; at most {@link
 *     #MAX_FORMER_MEMBERS}
 */
public record ShareEpoch(
    long number, String proposal, List<Member> members, List<FormerMember> former) {

  /**
   * Number of former members that a row keeps. The shares of a member that was absent for longer
   * than they reach back cannot be reclaimed until it is back.
   */
  public static final int MAX_FORMER_MEMBERS = 256;

  /**
   * A current member.
   *
   * @param id the member
   * @param joinedEpoch number of its first epoch
   * @param stopped whether a later run of the same instance has replaced it
   * @param baseUnits granted part of the rate and capacity of every resource
   * @param extras granted amounts of single resources, which are added to the base
   * @param settled units that it received from former members less units that it sent to them
   */
  public record Member(
      MemberId id,
      long joinedEpoch,
      boolean stopped,
      long baseUnits,
      List<ShareBalance> extras,
      List<ShareBalance> settled) {

    /** Makes unmodifiable copies of the lists. */
    public Member {
      extras = List.copyOf(extras);
      settled = List.copyOf(settled);
    }

    private Member markedStopped() {
      return new Member(id, joinedEpoch, true, baseUnits, extras, settled);
    }

    private Member withGranted(long moreBaseUnits, List<ShareBalance> more) {
      return new Member(
          id,
          joinedEpoch,
          stopped,
          baseUnits + moreBaseUnits,
          ShareBalance.sum(extras, more),
          settled);
    }

    private Member withSettled(List<ShareBalance> sentLessReceived) {
      List<ShareBalance> received = ShareBalance.negated(sentLessReceived);
      return new Member(
          id, joinedEpoch, stopped, baseUnits, extras, ShareBalance.sum(settled, received));
    }
  }

  /**
   * A member of an earlier epoch that has been removed.
   *
   * @param id the member
   * @param joinedEpoch number of its first epoch
   * @param removedEpoch number of the first epoch without it
   * @param stopped whether a later run of the same instance had replaced it
   */
  public record FormerMember(MemberId id, long joinedEpoch, long removedEpoch, boolean stopped) {

    private FormerMember markedStopped() {
      return new FormerMember(id, joinedEpoch, removedEpoch, true);
    }
  }

  /** Makes unmodifiable copies of the lists. */
  public ShareEpoch {
    members = List.copyOf(members);
    former = List.copyOf(former);
  }

  /** Returns the first epoch: its only member holds all resources, without any tokens. */
  public static ShareEpoch initial(MemberId first, String proposal) {
    Member member = new Member(first, 1, false, ShareAmount.WHOLE, List.of(), List.of());
    return new ShareEpoch(1, proposal, List.of(member), List.of());
  }

  /**
   * Returns the next epoch with one more member, which holds nothing yet. Earlier runs of the same
   * instance are marked as stopped.
   */
  public ShareEpoch withJoined(MemberId id, String newProposal) {
    List<Member> next = new ArrayList<>();
    for (Member member : members) {
      next.add(member.id().precedes(id) ? member.markedStopped() : member);
    }
    List<FormerMember> nextFormer = new ArrayList<>();
    for (FormerMember old : former) {
      nextFormer.add(old.id().precedes(id) ? old.markedStopped() : old);
    }
    next.add(new Member(id, number + 1, false, 0, List.of(), List.of()));
    return new ShareEpoch(number + 1, newProposal, next, nextFormer);
  }

  /**
   * Returns the next epoch with the same members. It voids every proposal that would replace this
   * epoch.
   */
  public ShareEpoch withSameMembers(String newProposal) {
    return new ShareEpoch(number + 1, newProposal, members, former);
  }

  /**
   * Returns the next epoch without the dead members; the recipient is granted what they held.
   *
   * <p>The dead members held what they were granted, what they had settled with former members, and
   * what the remaining members sent to them less what these received from them.
   *
   * @param dead members to remove
   * @param recipient remaining member that is granted their shares
   * @param balances units that each remaining member sent to the dead members less units that it
   *     received from them
   * @param newProposal unique identifier of the change
   */
  public ShareEpoch withReclaimed(
      Set<MemberId> dead,
      MemberId recipient,
      Map<MemberId, List<ShareBalance>> balances,
      String newProposal) {
    long reclaimedBaseUnits = 0;
    List<ShareBalance> reclaimed = List.of();
    List<FormerMember> nextFormer = new ArrayList<>(former);
    for (Member member : members) {
      if (!dead.contains(member.id())) {
        List<ShareBalance> balance = balances.getOrDefault(member.id(), List.of());
        reclaimed = ShareBalance.sum(reclaimed, balance);
        continue;
      }
      reclaimedBaseUnits += member.baseUnits();
      reclaimed = ShareBalance.sum(reclaimed, member.extras());
      reclaimed = ShareBalance.sum(reclaimed, member.settled());
      nextFormer.add(
          new FormerMember(member.id(), member.joinedEpoch(), number + 1, member.stopped()));
    }
    List<Member> next = new ArrayList<>();
    for (Member member : members) {
      if (dead.contains(member.id())) {
        continue;
      }
      Member settled = member.withSettled(balances.getOrDefault(member.id(), List.of()));
      boolean isRecipient = member.id().equals(recipient);
      next.add(isRecipient ? settled.withGranted(reclaimedBaseUnits, reclaimed) : settled);
    }
    int surplus = Math.max(0, nextFormer.size() - MAX_FORMER_MEMBERS);
    return new ShareEpoch(
        number + 1, newProposal, next, nextFormer.subList(surplus, nextFormer.size()));
  }

  /** Returns the current member of the given identity, or empty if this epoch has none. */
  public Optional<Member> member(MemberId id) {
    for (Member member : members) {
      if (member.id().equals(id)) {
        return Optional.of(member);
      }
    }
    return Optional.empty();
  }
}
