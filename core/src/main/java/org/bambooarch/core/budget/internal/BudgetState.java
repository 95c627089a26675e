package org.bambooarch.core.budget.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.bambooarch.core.budget.BudgetMessage;
import org.bambooarch.core.budget.BudgetSettings;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareEpoch;
import org.bambooarch.core.budget.ShareEpochStore;
import org.bambooarch.core.peer.PeerSender;
import org.bambooarch.core.time.Clock;

/**
 * The state that {@link EpochTracker}, {@link ShareReclaimer} and {@link ShareExchange} share.
 *
 * <p>Used by the control thread only, except for {@link #table} and {@link #isLeaseValid}.
 */
public final class BudgetState {

  /** Shortest time between two notices of the same epoch to one peer. */
  private static final long NOTICE_INTERVAL_NANOS = 200_000_000L;

  final BudgetSettings settings;
  final Clock clock;
  final RandomGenerator random;
  final PeerSender sender;
  final ShareEpochStore store;
  final ShareTable table;
  final Map<MemberId, BudgetPeer> peers = new TreeMap<>();

  /** Members with which this instance has closed its ledgers in the known epoch. */
  final Set<MemberId> closedLedgers = new HashSet<>();

  /** Identity of the current run; replaced before another attempt to join the epoch. */
  MemberId self;

  /** The latest known epoch, or null. */
  ShareEpoch epoch;

  boolean leaving;
  private long proposalCount;
  private volatile boolean leaseGranted;
  private volatile long leaseEndNanos;

  /** Creates the state of an instance that holds no shares and knows no epoch yet. */
  public BudgetState(
      MemberId self,
      BudgetSettings settings,
      Clock clock,
      RandomGenerator random,
      PeerSender sender,
      ShareEpochStore store) {
    this.self = self;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.sender = sender;
    this.store = store;
    this.table = new ShareTable();
  }

  /** Returns this instance's shares of all resources; safe on any thread. */
  public ShareTable table() {
    return table;
  }

  /** Returns the identity of the current run of the instance. */
  public MemberId self() {
    return self;
  }

  /** Returns the latest known epoch, or null. */
  public ShareEpoch epoch() {
    return epoch;
  }

  /** Returns the other members of the known epoch; empty while this instance is no member. */
  public Collection<BudgetPeer> peers() {
    return peers.values();
  }

  /** Starts to give all shares to peers; cannot be undone. */
  public void leave() {
    leaving = true;
  }

  /** Returns whether the lease allows to use the shares now; safe on any thread. */
  public boolean isLeaseValid() {
    return leaseGranted && clock.monotonicNanos() - leaseEndNanos < 0;
  }

  /** Returns the monotonic time at which the lease ends; meaningless before it is granted. */
  public long leaseEndNanos() {
    return leaseEndNanos;
  }

  /** Grants the lease or extends it; a deadline before the present one has no effect. */
  void extendLease(long deadlineNanos) {
    if (!leaseGranted || deadlineNanos - leaseEndNanos > 0) {
      leaseEndNanos = deadlineNanos;
    }
    leaseGranted = true;
  }

  void revokeLease() {
    leaseGranted = false;
  }

  boolean isMember() {
    return epoch != null && epoch.member(self).isPresent();
  }

  String newProposal() {
    proposalCount++;
    return self + "/" + proposalCount;
  }

  void send(BudgetMessage message) {
    sender.send(message.to().name(), message);
  }

  /** Returns the peers that have reported within the given time and whose ledgers are open. */
  public List<BudgetPeer> livePeers(long nowNanos, long silenceNanos) {
    List<BudgetPeer> live = new ArrayList<>();
    for (BudgetPeer peer : peers.values()) {
      boolean heard = peer.hasStamp && nowNanos - peer.lastHeardNanos < silenceNanos;
      if (heard && !closedLedgers.contains(peer.id)) {
        live.add(peer);
      }
    }
    return live;
  }

  /**
   * Sends the known epoch to a member that knows an older one. A peer gets the same epoch at most
   * once per {@link #NOTICE_INTERVAL_NANOS}.
   */
  void notifyEpoch(MemberId receiver, long nowNanos) {
    BudgetPeer peer = peers.get(receiver);
    if (peer != null) {
      boolean again = peer.notifiedEpoch == epoch.number();
      if (again && nowNanos - peer.notifiedNanos < NOTICE_INTERVAL_NANOS) {
        return;
      }
      peer.notifiedEpoch = epoch.number();
      peer.notifiedNanos = nowNanos;
    }
    send(new BudgetMessage.EpochNotice(self, receiver, epoch));
  }
}
