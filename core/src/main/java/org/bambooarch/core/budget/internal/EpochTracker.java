package org.bambooarch.core.budget.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.budget.BudgetSettings.Protection;
import org.bambooarch.core.budget.ShareBalance;
import org.bambooarch.core.budget.ShareEpoch;
import org.bambooarch.core.budget.ShareEpochStore;

/**
 * Follows the share epoch: reads its row, joins as a member, and renews this instance's lease.
 *
 * <p>The shares are usable while the lease is valid. It lasts {@code leaseNanos} from the start of
 * a read of the row that shows this member, and {@code leaseNanos} from the time as of which more
 * than half of the members, itself included, have renewed it. Control thread only.
 */
public final class EpochTracker {

  /** Upper bound of the random delay before the row is read after a conflict or unknown result. */
  private static final int READ_JITTER_NANOS = 300_000_000;

  /** Shares granted by an epoch, and the monotonic time from which they may be used. */
  private record Grant(long effectiveNanos, long baseUnits, List<ShareBalance> extras) {}

  private final BudgetState state;
  private final List<Grant> grants = new ArrayList<>();
  private boolean readOnce;
  private long nextReadNanos;
  private boolean storeAnswered;
  private boolean identityUsed;
  private long storeAnsweredNanos;

  /** Creates a tracker that starts its first read in the first tick. */
  public EpochTracker(BudgetState state) {
    this.state = state;
  }

  /**
   * Starts a read of the row if one is due, adds the grants that have become usable, and renews the
   * lease from the reports of peers. Called once per tick.
   */
  public void tick(long nowNanos) {
    if (!readOnce || nowNanos - nextReadNanos >= 0) {
      readOnce = true;
      nextReadNanos = nowNanos + state.settings.readIntervalNanos();
      state.store.startRead(nowNanos);
    }
    applyGrants(nowNanos);
    renewLeaseByMajority(nowNanos);
  }

  /** Returns whether a read was answered within the last three read intervals. */
  boolean isStoreUp(long nowNanos) {
    return storeAnswered && nowNanos - storeAnsweredNanos < 3 * state.settings.readIntervalNanos();
  }

  /** Handles a result of the store. */
  public void onAnswer(ShareEpochStore.Answer answer, long nowNanos) {
    switch (answer) {
      case ShareEpochStore.Answer.Read read -> onRead(read, nowNanos);
      case ShareEpochStore.Answer.Written written -> adopt(written.epoch(), nowNanos);
      case ShareEpochStore.Answer.Conflict conflict -> readAgainSoon(nowNanos);
      case ShareEpochStore.Answer.Unknown unknown -> readAgainSoon(nowNanos);
    }
  }

  private void readAgainSoon(long nowNanos) {
    nextReadNanos = nowNanos + state.random.nextInt(READ_JITTER_NANOS);
  }

  private void onRead(ShareEpochStore.Answer.Read read, long nowNanos) {
    storeAnswered = true;
    storeAnsweredNanos = nowNanos;
    Optional<ShareEpoch> stored = read.epoch();
    if (stored.isEmpty()) {
      createInitialEpoch();
      return;
    }
    boolean stale = state.epoch != null && stored.get().number() < state.epoch.number();
    if (stale) {
      return;
    }
    adopt(stored.get(), nowNanos);
    if (state.isMember()) {
      state.extendLease(read.startedNanos() + state.settings.leaseNanos());
      return;
    }
    if (!state.leaving) {
      useFreshIdentity();
      ShareEpoch joined = state.epoch.withJoined(state.self, state.newProposal());
      state.store.startCompareAndSet(state.epoch.number(), joined);
    }
  }

  private void createInitialEpoch() {
    if (state.epoch == null && !state.leaving) {
      useFreshIdentity();
      state.store.startCompareAndSet(0, ShareEpoch.initial(state.self, state.newProposal()));
    }
  }

  /**
   * Gives each attempt to join an identity of its own. An attempt whose answer was lost may have
   * succeeded, and its member may have been reclaimed since: a second join under the same identity
   * would reopen ledgers that are already settled.
   */
  private void useFreshIdentity() {
    if (identityUsed) {
      state.self = state.self.nextRun();
    }
    identityUsed = true;
  }

  /**
   * Replaces the known epoch by a newer one and reopens all closed ledgers; an epoch that is not
   * newer is ignored.
   */
  public void adopt(ShareEpoch next, long nowNanos) {
    if (state.epoch != null && next.number() <= state.epoch.number()) {
      return;
    }
    final ShareEpoch previous = state.epoch;
    boolean wasMember = state.isMember();
    state.epoch = next;
    state.closedLedgers.clear();
    if (wasMember && !state.isMember()) {
      resetWithNewIdentity();
    }
    if (state.isMember()) {
      scheduleGrant(previous, nowNanos);
      updatePeers(nowNanos);
    }
  }

  /**
   * Drops all shares and ledgers and takes a new identity, because other members have reclaimed the
   * shares of the present one.
   */
  private void resetWithNewIdentity() {
    state.revokeLease();
    state.table.clear();
    state.peers.clear();
    grants.clear();
    state.self = state.self.nextRun();
    identityUsed = false;
    readOnce = false;
  }

  /**
   * Schedules the shares that the epoch newly grants to this member. They may come from dead
   * members, so they are usable only after a lease and its margin; the initial epoch has no
   * predecessor and grants at once.
   */
  private void scheduleGrant(ShareEpoch previous, long nowNanos) {
    ShareEpoch.Member member = state.epoch.member(state.self).orElseThrow();
    Optional<ShareEpoch.Member> old =
        previous == null ? Optional.empty() : previous.member(state.self);
    long baseUnits = member.baseUnits() - old.map(ShareEpoch.Member::baseUnits).orElse(0L);
    List<ShareBalance> extras =
        ShareBalance.sum(
            member.extras(),
            ShareBalance.negated(old.map(ShareEpoch.Member::extras).orElse(List.of())));
    if (baseUnits == 0 && extras.isEmpty()) {
      return;
    }
    boolean waitsForLease = state.settings.enforces(Protection.RECLAIM_WAITS_FOR_LEASE);
    boolean isInitial = state.epoch.number() == 1;
    long waitNanos = state.settings.leaseNanos() + state.settings.leaseMarginNanos();
    long effectiveNanos = isInitial || !waitsForLease ? nowNanos : nowNanos + waitNanos;
    grants.add(new Grant(effectiveNanos, baseUnits, extras));
    applyGrants(nowNanos);
  }

  private void applyGrants(long nowNanos) {
    for (Grant grant : List.copyOf(grants)) {
      if (nowNanos - grant.effectiveNanos() >= 0) {
        state.table.grant(grant.baseUnits(), grant.extras(), nowNanos);
        grants.remove(grant);
      }
    }
  }

  private void updatePeers(long nowNanos) {
    state.peers.keySet().removeIf(id -> state.epoch.member(id).isEmpty());
    for (ShareEpoch.Member member : state.epoch.members()) {
      if (!member.id().equals(state.self)) {
        state.peers.computeIfAbsent(
            member.id(), id -> new BudgetPeer(id, nowNanos, member.joinedEpoch()));
      }
    }
  }

  /**
   * Extends the lease as of the renewal that completes a majority of the members, which includes
   * this member itself.
   */
  void renewLeaseByMajority(long nowNanos) {
    if (!state.isMember()) {
      return;
    }
    int needed = state.epoch.members().size() / 2;
    long[] agesNanos =
        state.peers.values().stream()
            .filter(peer -> peer.hasLeaseRenewal)
            .mapToLong(peer -> nowNanos - peer.leaseRenewalNanos)
            .toArray();
    if (agesNanos.length < needed) {
      return;
    }
    Arrays.sort(agesNanos);
    long ageNanos = needed == 0 ? 0 : agesNanos[needed - 1];
    state.extendLease(nowNanos - ageNanos + state.settings.leaseNanos());
  }
}
