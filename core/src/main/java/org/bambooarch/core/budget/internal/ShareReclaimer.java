package org.bambooarch.core.budget.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.bambooarch.core.budget.BudgetMessage;
import org.bambooarch.core.budget.BudgetSettings.Protection;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareBalance;
import org.bambooarch.core.budget.ShareEpoch;

/**
 * Reclaims the shares of dead members.
 *
 * <p>The live member with the lowest identity coordinates. It asks all other live members to close
 * their ledgers with the dead ones. Their final totals and the nominal holdings give exactly what
 * the dead members held. A compare-and-set on the epoch row decides between rival coordinators.
 * Control thread only.
 */
public final class ShareReclaimer {

  /**
   * Time after which a proposal is replaced if it has not led to a new epoch, and after which
   * ledgers that were closed for an abandoned proposal are reopened.
   */
  private static final long PROPOSAL_TIMEOUT_NANOS = 2_000_000_000L;

  /** An attempt of this coordinator to reclaim the shares of some dead members. */
  private static final class Proposal {
    final String id;
    final long epoch;
    final Set<MemberId> dead;
    final long deadlineNanos;
    final Map<MemberId, BudgetMessage.LedgerClosed> reports = new TreeMap<>();
    boolean writeStarted;

    Proposal(String id, long epoch, Set<MemberId> dead, long deadlineNanos) {
      this.id = id;
      this.epoch = epoch;
      this.dead = dead;
      this.deadlineNanos = deadlineNanos;
    }
  }

  private final BudgetState state;
  private final EpochTracker epochTracker;
  private Proposal proposal;
  private boolean staleClosure;
  private long staleClosureSinceNanos;

  /** Creates a reclaimer without an open proposal. */
  public ShareReclaimer(BudgetState state, EpochTracker epochTracker) {
    this.state = state;
    this.epochTracker = epochTracker;
  }

  /**
   * Opens or continues a proposal, once per tick. Drops it unless this instance is the coordinator
   * and a member with a valid lease, the store answers, and members are dead.
   */
  public void tick(long nowNanos) {
    if (!state.isMember() || !epochTracker.isStoreUp(nowNanos) || !state.isLeaseValid()) {
      proposal = null;
      return;
    }
    Set<MemberId> dead = deadMembers(nowNanos);
    if (!isCoordinator(dead)) {
      proposal = null;
      return;
    }
    voidAbandonedProposals(dead, nowNanos);
    if (dead.isEmpty()) {
      proposal = null;
      return;
    }
    if (!isCurrent(dead, nowNanos)) {
      propose(dead, nowNanos);
    }
    requestReports();
    writeWhenComplete();
  }

  /** Returns the peers that were silent for too long or whose instance has started a later run. */
  private Set<MemberId> deadMembers(long nowNanos) {
    Set<MemberId> dead = new TreeSet<>();
    for (ShareEpoch.Member member : state.epoch.members()) {
      BudgetPeer peer = state.peers.get(member.id());
      if (peer == null) {
        continue;
      }
      boolean silent = nowNanos - peer.lastHeardNanos >= state.settings.suspectNanos();
      if (silent || member.stopped()) {
        dead.add(member.id());
      }
    }
    return dead;
  }

  private boolean isCoordinator(Set<MemberId> dead) {
    for (BudgetPeer peer : state.peers.values()) {
      if (!dead.contains(peer.id) && peer.id.compareTo(state.self) < 0) {
        return false;
      }
    }
    return true;
  }

  private boolean isCurrent(Set<MemberId> dead, long nowNanos) {
    return proposal != null
        && proposal.epoch == state.epoch.number()
        && proposal.dead.equals(dead)
        && nowNanos - proposal.deadlineNanos < 0;
  }

  private void propose(Set<MemberId> dead, long nowNanos) {
    String id = state.newProposal();
    long deadlineNanos = nowNanos + PROPOSAL_TIMEOUT_NANOS;
    proposal = new Proposal(id, state.epoch.number(), dead, deadlineNanos);
    proposal.reports.put(state.self, closeLedgers(state.self, id, List.copyOf(dead)));
  }

  /**
   * Replaces the epoch by one with the same members if ledgers have been closed for too long
   * without a reclaim that needs it. The new epoch reopens them and frees the members from their
   * promises.
   */
  private void voidAbandonedProposals(Set<MemberId> dead, long nowNanos) {
    boolean staleNow = !dead.containsAll(state.closedLedgers);
    for (BudgetPeer peer : state.peers.values()) {
      staleNow |= peer.anyLedgerClosed && dead.isEmpty();
    }
    if (!staleNow || !staleClosure) {
      staleClosure = staleNow;
      staleClosureSinceNanos = nowNanos;
      return;
    }
    if (nowNanos - staleClosureSinceNanos >= PROPOSAL_TIMEOUT_NANOS) {
      staleClosure = false;
      ShareEpoch next = state.epoch.withSameMembers(state.newProposal());
      state.store.startCompareAndSet(state.epoch.number(), next);
    }
  }

  /** Asks every live member whose report is missing, again in each tick. */
  private void requestReports() {
    for (BudgetPeer peer : state.peers.values()) {
      if (proposal.dead.contains(peer.id) || proposal.reports.containsKey(peer.id)) {
        continue;
      }
      state.send(
          new BudgetMessage.CloseLedger(
              state.self, peer.id, proposal.epoch, proposal.id, List.copyOf(proposal.dead)));
    }
  }

  /** Starts to write the next epoch once all needed reports are there and the reclaim is safe. */
  private void writeWhenComplete() {
    int remaining = state.epoch.members().size() - proposal.dead.size();
    boolean needsAll = state.settings.enforces(Protection.ALL_MEMBERS_REPORT);
    int needed = needsAll ? remaining : Math.min(2, remaining);
    if (proposal.writeStarted || proposal.reports.size() < needed) {
      return;
    }
    Map<MemberId, Long> knownEpochs = new HashMap<>();
    Map<MemberId, List<ShareBalance>> balances = new HashMap<>();
    for (BudgetMessage.LedgerClosed report : proposal.reports.values()) {
      balances.put(report.from(), report.balances());
      report.knownEpochs().forEach((id, number) -> knownEpochs.merge(id, number, Math::max));
    }
    if (needsAll && !ReclaimRule.isSafe(state.epoch, proposal.dead, knownEpochs)) {
      return;
    }
    proposal.writeStarted = true;
    ShareEpoch next = state.epoch.withReclaimed(proposal.dead, state.self, balances, proposal.id);
    state.store.startCompareAndSet(state.epoch.number(), next);
  }

  /**
   * Closes the ledgers with the dead members and reports to the coordinator. Does nothing if the
   * request is for another epoch or names a member that is no peer, or if one of the dead members
   * has reported to this one within half of {@code suspectNanos} and is not replaced by a later run
   * of its instance. An epoch must be known.
   */
  public void onCloseLedger(BudgetMessage.CloseLedger request, long nowNanos) {
    if (state.epoch.number() != request.epoch()) {
      return;
    }
    for (MemberId id : request.dead()) {
      BudgetPeer peer = state.peers.get(id);
      boolean stopped = state.epoch.member(id).map(ShareEpoch.Member::stopped).orElse(true);
      if (peer == null) {
        return;
      }
      if (!stopped && nowNanos - peer.lastHeardNanos < state.settings.suspectNanos() / 2) {
        return;
      }
    }
    state.send(closeLedgers(request.from(), request.proposal(), request.dead()));
  }

  /** Closes the ledgers with the dead members and returns the report of the final totals. */
  private BudgetMessage.LedgerClosed closeLedgers(
      MemberId coordinator, String proposalId, List<MemberId> dead) {
    Map<String, ShareBalance> sums = new TreeMap<>();
    Map<MemberId, Long> knownEpochs = new HashMap<>();
    for (MemberId id : dead) {
      state.closedLedgers.add(id);
      BudgetPeer peer = state.peers.get(id);
      knownEpochs.put(id, peer.knownEpoch);
      peer.ledgers.forEach(
          (resource, ledger) -> sums.merge(resource, ledger.balance(resource), ShareBalance::plus));
    }
    return new BudgetMessage.LedgerClosed(
        state.self,
        coordinator,
        state.epoch.number(),
        proposalId,
        List.copyOf(sums.values()),
        Map.copyOf(knownEpochs));
  }

  /** Records a report if it answers the open proposal and the next epoch is not being written. */
  public void onLedgerClosed(BudgetMessage.LedgerClosed report) {
    boolean expected =
        proposal != null
            && proposal.id.equals(report.proposal())
            && proposal.epoch == report.epoch()
            && !proposal.writeStarted;
    if (expected) {
      proposal.reports.put(report.from(), report);
    }
  }

  /** Returns the dead members of the open proposal, or an empty set without one. */
  Set<MemberId> openProposal() {
    return proposal == null ? Set.of() : new HashSet<>(proposal.dead);
  }
}
