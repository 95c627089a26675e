package org.bambooarch.core.budget.internal;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareEpoch;

/**
 * Decides whether members outside of the reporting ones could still vouch for each other.
 *
 * <p>A member that missed some epochs counts the majority of the epoch that it knows. The reclaim
 * is safe only if, in every epoch that a dead member may still know, those who made no promise are
 * at most half.
 */
final class ReclaimRule {

  private ReclaimRule() {}

  static boolean isSafe(ShareEpoch epoch, Set<MemberId> dead, Map<MemberId, Long> knownEpochs) {
    Set<MemberId> promised = new HashSet<>();
    for (ShareEpoch.Member member : epoch.members()) {
      if (!dead.contains(member.id())) {
        promised.add(member.id());
      }
    }
    for (ShareEpoch.Member member : epoch.members()) {
      if (!dead.contains(member.id()) || member.stopped()) {
        continue;
      }
      long known = Math.max(member.joinedEpoch(), knownEpochs.getOrDefault(member.id(), 0L));
      if (!holdsSince(epoch, promised, known)) {
        return false;
      }
    }
    return true;
  }

  private static boolean holdsSince(ShareEpoch epoch, Set<MemberId> promised, long known) {
    boolean forgotten =
        epoch.former().size() >= ShareEpoch.MAX_FORMER_MEMBERS
            && epoch.former().get(0).removedEpoch() > known;
    if (forgotten) {
      return false;
    }
    for (long number = known; number <= epoch.number(); number++) {
      if (!holdsAt(epoch, promised, number)) {
        return false;
      }
    }
    return true;
  }

  private static boolean holdsAt(ShareEpoch epoch, Set<MemberId> promised, long number) {
    int size = 0;
    int free = 0;
    for (ShareEpoch.Member member : epoch.members()) {
      if (member.joinedEpoch() > number) {
        continue;
      }
      size++;
      if (!promised.contains(member.id()) && !member.stopped()) {
        free++;
      }
    }
    for (ShareEpoch.FormerMember former : epoch.former()) {
      if (former.joinedEpoch() > number || former.removedEpoch() <= number) {
        continue;
      }
      size++;
      if (!former.stopped()) {
        free++;
      }
    }
    return 2 * free <= size;
  }
}
