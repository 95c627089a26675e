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

/** The control state that the systems of the budgets run over; used by the control thread only. */
public final class BudgetState {

  private static final long NOTICE_INTERVAL_NANOS = 200_000_000L;

  final BudgetSettings settings;
  final Clock clock;
  final RandomGenerator random;
  final PeerSender sender;
  final ShareEpochStore store;
  final ShareTable table;
  final Map<MemberId, BudgetPeer> peers = new TreeMap<>();
  final Set<MemberId> closedLedgers = new HashSet<>();
  MemberId self;
  ShareEpoch epoch;
  boolean leaving;
  private long proposalCount;
  private volatile boolean leaseGranted;
  private volatile long leaseEndNanos;

  /** Creates the state of an instance that holds nothing yet. */
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

  /** Returns the table of shares. */
  public ShareTable table() {
    return table;
  }

  /** Returns this run of the instance. */
  public MemberId self() {
    return self;
  }

  /** Returns the known epoch, or null. */
  public ShareEpoch epoch() {
    return epoch;
  }

  /** Returns the other members of the known epoch. */
  public Collection<BudgetPeer> peers() {
    return peers.values();
  }

  /** Starts to give all shares away. */
  public void leave() {
    leaving = true;
  }

  /** Returns whether the shares may be used now; safe on any thread. */
  public boolean isLeaseValid() {
    return leaseGranted && clock.monotonicNanos() - leaseEndNanos < 0;
  }

  /** Returns the moment until which the shares may be used; meaningless while unconfirmed. */
  public long leaseEndNanos() {
    return leaseEndNanos;
  }

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

  /** Returns peers heard within the given time that take part in transfers. */
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
