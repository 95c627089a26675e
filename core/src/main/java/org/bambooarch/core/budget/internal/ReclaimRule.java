package org.bambooarch.core.budget.internal;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareEpoch;

/**
 * Decides whether members outside of the reporting ones could still renew each other's leases.
 *
 * <p>A member that missed some epochs counts the majority of the epoch that it knows. The reclaim
 * is safe only if, in every epoch that a dead member may still know, the members that have not
 * promised to stop renewing its lease are at most half.
 */
final class ReclaimRule {

  private ReclaimRule() {}

  /**
   * Returns whether the shares of the dead members may be reclaimed once all others have reported.
   *
   * @param epoch the current epoch
   * @param dead members to reclaim from; all other members have promised not to renew their leases
   * @param knownEpochs number of the latest epoch that each dead member is known to have received
   */
  static boolean isSafe(ShareEpoch epoch, Set<MemberId> dead, Map<MemberId, Long> knownEpochs) {
    Set<MemberId> reporting = new HashSet<>();
    for (ShareEpoch.Member member : epoch.members()) {
      if (!dead.contains(member.id())) {
        reporting.add(member.id());
      }
    }
    for (ShareEpoch.Member member : epoch.members()) {
      if (!dead.contains(member.id()) || member.stopped()) {
        continue;
      }
      long knownEpoch = Math.max(member.joinedEpoch(), knownEpochs.getOrDefault(member.id(), 0L));
      if (!isSafeSince(epoch, reporting, knownEpoch)) {
        return false;
      }
    }
    return true;
  }

  /** Checks all epochs from the given one; unsafe if the former members do not reach back to it. */
  private static boolean isSafeSince(ShareEpoch epoch, Set<MemberId> reporting, long knownEpoch) {
    boolean historyTruncated =
        epoch.former().size() >= ShareEpoch.MAX_FORMER_MEMBERS
            && epoch.former().get(0).removedEpoch() > knownEpoch;
    if (historyTruncated) {
      return false;
    }
    for (long epochNumber = knownEpoch; epochNumber <= epoch.number(); epochNumber++) {
      if (!isSafeAt(epoch, reporting, epochNumber)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether the members without a promise were at most half of the given epoch. A stopped
   * member needs no promise, because its run has ended.
   */
  private static boolean isSafeAt(ShareEpoch epoch, Set<MemberId> reporting, long epochNumber) {
    int memberCount = 0;
    int uncommitted = 0;
    for (ShareEpoch.Member member : epoch.members()) {
      if (member.joinedEpoch() > epochNumber) {
        continue;
      }
      memberCount++;
      if (!reporting.contains(member.id()) && !member.stopped()) {
        uncommitted++;
      }
    }
    for (ShareEpoch.FormerMember former : epoch.former()) {
      if (former.joinedEpoch() > epochNumber || former.removedEpoch() <= epochNumber) {
        continue;
      }
      memberCount++;
      if (!former.stopped()) {
        uncommitted++;
      }
    }
    return 2 * uncommitted <= memberCount;
  }
}
