package org.bambooarch.core.budget.internal;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.budget.BudgetMessage;
import org.bambooarch.core.budget.BudgetSettings.Protection;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareAmount;
import org.bambooarch.core.budget.ShareEntry;

/**
 * Moves shares to the instances that have the demand, and reports to the other members.
 *
 * <p>Control thread only. Runs once per tick in three steps: {@link #sampleEmptyUnits}, {@link
 * #refillAndMeasure} and {@link #transferAndReport}.
 */
public final class ShareExchange {

  private static final double NANOS_PER_SECOND = 1e9;

  /** Time after which a peer gets a report even if nothing has changed. */
  private static final long MAX_REPORT_INTERVAL_NANOS = 200_000_000L;

  /** Largest change of the demand that is not reported by itself, as a fraction of the rate. */
  private static final double DEMAND_THRESHOLD_FRACTION = 0.03;

  /**
   * Surplus that is not moved, as a fraction of what this instance should hold, or of an even part
   * if that is larger.
   */
  private static final double TOLERANCE_FRACTION = 0.1;

  /** Fraction of the surplus that one tick moves. */
  private static final double DAMPING_FRACTION = 0.5;

  /** Tokens are scarce if there are fewer than this multiple of what a peer wants. */
  private static final double SCARCITY_FACTOR = 1.2;

  /** 2^32 divided by the golden ratio: a multiplier that spreads similar hash codes. */
  private static final int RANK_HASH_MULTIPLIER = 0x9E3779B1;

  /** A resource is overloaded if the demand exceeds this multiple of its rate. */
  private static final double OVERLOAD_FACTOR = 1.5;

  /** Peers of an overloaded resource have too few tokens below the whole burst divided by this. */
  private static final int SCARCE_DIVISOR = 10;

  private final BudgetState state;
  private boolean hasTicked;
  private long lastTickNanos;

  /** Creates an exchange whose first tick measures no demand, because no time has elapsed. */
  public ShareExchange(BudgetState state) {
    this.state = state;
  }

  /** Samples the empty units of all shares; must run before the time of the tick is read. */
  public void sampleEmptyUnits() {
    for (ResourceShare share : state.table.all()) {
      share.sampleEmpty();
    }
  }

  /**
   * Refills all shares and measures the demand; must run before {@link ShareReclaimer} decides
   * which members are silent.
   */
  public void refillAndMeasure(long nowNanos) {
    final double elapsedSeconds = hasTicked ? (nowNanos - lastTickNanos) / NANOS_PER_SECOND : 0;
    boolean paused = hasTicked && nowNanos - lastTickNanos > state.settings.suspectNanos() / 2;
    if (paused) {
      resetSilence(nowNanos);
    }
    hasTicked = true;
    lastTickNanos = nowNanos;
    for (ResourceShare share : state.table.all()) {
      share.refillAndAdvance(nowNanos);
      share.measureDemand(elapsedSeconds);
    }
  }

  /**
   * Counts the silence of all peers anew, because reports could not be handled while this process
   * itself was paused.
   */
  private void resetSilence(long nowNanos) {
    for (BudgetPeer peer : state.peers.values()) {
      peer.lastHeardNanos = nowNanos;
    }
  }

  /**
   * Moves shares to peers while the lease is valid, and sends reports; does nothing unless this
   * instance is a member.
   */
  public void transferAndReport(long nowNanos) {
    if (!state.isMember()) {
      return;
    }
    List<BudgetPeer> live = state.livePeers(nowNanos, state.settings.suspectNanos() / 2);
    for (ResourceShare share : state.table.configured()) {
      updateObtainableUnits(share, live);
      if (state.isLeaseValid()) {
        serveWaiting(share, live, nowNanos);
        rebalance(share, live, nowNanos);
      }
    }
    for (BudgetPeer peer : state.peers.values()) {
      if (isLedgerClosed(peer)) {
        reportLiveness(peer, nowNanos);
      } else {
        reportShares(peer, nowNanos);
      }
    }
  }

  private boolean isLedgerClosed(BudgetPeer peer) {
    return state.closedLedgers.contains(peer.id);
  }

  /**
   * Updates the units that waiting requests can expect: the tokens of peers, and what the rate
   * refills during the longest wait. If the demand of all instances overloads the resource, the
   * refill does not count, and nothing can be expected once peers have few tokens left.
   */
  private void updateObtainableUnits(ResourceShare share, List<BudgetPeer> live) {
    long peerUnits = 0;
    double demand = share.demandQuantaPerSecond();
    for (BudgetPeer peer : live) {
      peerUnits += Math.max(0, peer.ledger(share.name()).expectedHeld().fullUnits());
      demand += peer.ledger(share.name()).demandQuantaPerSecond();
    }
    boolean overRate = demand > OVERLOAD_FACTOR * share.quantaPerSecond();
    if (overRate) {
      boolean scarce = peerUnits < ShareAmount.WHOLE / SCARCE_DIVISOR;
      share.setObtainableUnits(scarce ? 0 : peerUnits);
      return;
    }
    double waitSeconds = state.settings.maxWaitNanos() / NANOS_PER_SECOND;
    double refillUnits = share.quantaPerSecond() * waitSeconds * share.unitsPerQuantum();
    share.setObtainableUnits(peerUnits + (long) refillUnits);
  }

  /**
   * Moves tokens to peers whose requests wait for them. Every holder moves only its part of what a
   * peer wants, in proportion to its tokens; if tokens are scarce, it moves all that it can spare.
   */
  private void serveWaiting(ResourceShare share, List<BudgetPeer> live, long nowNanos) {
    long spareUnits = share.held().fullUnits() - share.waitingUnits();
    for (BudgetPeer peer : live) {
      TransferLedger ledger = peer.ledger(share.name());
      long wanted = ledger.wantedUnits();
      if (wanted <= 0 || spareUnits <= 0) {
        continue;
      }
      ledger.clearWantedUnits();
      double availableUnits = spareUnits;
      for (BudgetPeer other : live) {
        if (other != peer) {
          availableUnits += Math.max(0, other.ledger(share.name()).expectedHeld().fullUnits());
        }
      }
      boolean scarce = availableUnits < SCARCITY_FACTOR * wanted;
      long transferUnits =
          scarce
              ? spareUnits
              : (long) Math.min(spareUnits, wanted * (spareUnits / availableUnits) + 1);
      moveToPeer(share, peer, new ShareAmount(0, transferUnits, 0), nowNanos);
      spareUnits -= transferUnits;
    }
  }

  /** Moves surpluses to peers; index 0 of all arrays is this instance, the live peers follow. */
  private void rebalance(ResourceShare share, List<BudgetPeer> live, long nowNanos) {
    int instanceCount = live.size() + 1;
    double[] demands = new double[instanceCount];
    int[] ranks = new int[instanceCount];
    boolean[] leaving = new boolean[instanceCount];
    long[] rate = new long[instanceCount];
    long[] full = new long[instanceCount];
    long[] empty = new long[instanceCount];
    for (int i = 0; i < instanceCount; i++) {
      BudgetPeer peer = i == 0 ? null : live.get(i - 1);
      TransferLedger ledger = i == 0 ? null : peer.ledger(share.name());
      MemberId id = i == 0 ? state.self : peer.id;
      final ShareAmount held = i == 0 ? share.held() : ledger.expectedHeld();
      demands[i] = i == 0 ? share.demandQuantaPerSecond() : ledger.demandQuantaPerSecond();
      ranks[i] = rank(share.name(), id);
      leaving[i] = i == 0 ? state.leaving : peer.leaving;
      rate[i] = held.rateUnits();
      full[i] = held.fullUnits();
      empty[i] = held.emptyUnits();
    }
    full[0] -= share.waitingUnits();
    ShareWeights weights =
        ShareWeights.of(demands, ranks, leaving, share.quantaPerSecond(), share.burstQuanta());
    long[] rateTransfers = transfers(rate, weights.rate(), 1);
    long[] fullTransfers = transfers(full, weights.capacity(), share.unitsPerQuantum());
    long[] emptyTransfers = transfers(empty, weights.capacity(), share.unitsPerQuantum());
    for (int i = 1; i < instanceCount; i++) {
      ShareAmount transfer = new ShareAmount(rateTransfers[i], fullTransfers[i], emptyTransfers[i]);
      moveToPeer(share, live.get(i - 1), transfer, nowNanos);
    }
  }

  /**
   * Returns the rank of a member for a resource. It orders the members differently for each
   * resource, so that no member holds many of the small bursts.
   */
  private static int rank(String resource, MemberId id) {
    return (resource + "/" + id.name()).hashCode() * RANK_HASH_MULTIPLIER;
  }

  /**
   * Returns the units that this instance moves to each of the others. If it should hold nothing, it
   * moves everything at once, without tolerance and damping.
   */
  private static long[] transfers(long[] held, double[] weights, long stepUnits) {
    if (weights[0] == 0) {
      return ShareBalancer.transfers(held, weights, 0, 1, 1);
    }
    double total = 0;
    for (long units : held) {
      total += Math.max(0, units);
    }
    double toleranceUnits = TOLERANCE_FRACTION * Math.max(total * weights[0], total / held.length);
    return ShareBalancer.transfers(
        held, weights, toleranceUnits, DAMPING_FRACTION, Math.max(1, stepUnits));
  }

  /** Moves the requested amount to a peer, or as much of it as is held. */
  private void moveToPeer(
      ResourceShare share, BudgetPeer peer, ShareAmount requested, long nowNanos) {
    if (requested.isNone()) {
      return;
    }
    ShareAmount moved = share.remove(requested);
    if (!moved.isNone()) {
      peer.ledger(share.name()).send(moved, nowNanos);
    }
  }

  /**
   * Shows a member whose ledger is closed that this instance is alive, without renewing its lease
   * or acknowledging anything.
   */
  private void reportLiveness(BudgetPeer peer, long nowNanos) {
    state.send(
        new BudgetMessage.ShareReport(
            state.self,
            peer.id,
            state.epoch.number(),
            nowNanos,
            0,
            false,
            false,
            true,
            state.leaving,
            true,
            List.of()));
  }

  /**
   * Reports to a peer the resources whose state it has not acknowledged, and renews its lease if it
   * knows the same epoch. Without any such resource, a report is sent only after {@link
   * #MAX_REPORT_INTERVAL_NANOS}.
   */
  private void reportShares(BudgetPeer peer, long nowNanos) {
    List<ShareEntry> entries = new ArrayList<>();
    for (ResourceShare share : state.table.all()) {
      TransferLedger ledger = peer.ledger(share.name());
      ShareEntry entry =
          new ShareEntry(
              share.name(),
              ledger.sentTotal(),
              share.held(),
              (long) (share.demandQuantaPerSecond() * 1_000),
              share.wantedUnits());
      long demandThreshold = (long) (DEMAND_THRESHOLD_FRACTION * share.quantaPerSecond() * 1_000);
      boolean unacknowledged =
          ledger.isUnacknowledged(entry, demandThreshold, nowNanos, peer.acknowledgedNanos);
      if (unacknowledged || !peer.hasAcknowledgement) {
        entries.add(entry);
      }
    }
    boolean due = !peer.hasReported || nowNanos - peer.reportedNanos >= MAX_REPORT_INTERVAL_NANOS;
    if (entries.isEmpty() && !due) {
      return;
    }
    peer.hasReported = true;
    peer.reportedNanos = nowNanos;
    boolean renewsLease = peer.knownEpoch == state.epoch.number() && !isLedgerClosed(peer);
    state.send(
        new BudgetMessage.ShareReport(
            state.self,
            peer.id,
            state.epoch.number(),
            nowNanos,
            peer.latestStampNanos,
            peer.hasStamp,
            renewsLease,
            !state.closedLedgers.isEmpty(),
            state.leaving,
            false,
            List.copyOf(entries)));
  }

  /**
   * Handles a report of another member; a sender that knows an older epoch is sent the current one.
   * From a member whose ledger is closed here, only the report's arrival and epoch are noted.
   */
  public void onReport(BudgetMessage.ShareReport report, long nowNanos) {
    if (state.epoch == null) {
      return;
    }
    BudgetPeer peer = state.peers.get(report.from());
    if (report.epoch() < state.epoch.number()) {
      state.notifyEpoch(report.from(), nowNanos);
    }
    if (peer == null) {
      return;
    }
    peer.lastHeardNanos = nowNanos;
    peer.knownEpoch = Math.max(peer.knownEpoch, report.epoch());
    boolean ignored =
        state.closedLedgers.contains(peer.id) && state.settings.enforces(Protection.CLOSED_LEDGER);
    if (ignored) {
      return;
    }
    peer.anyLedgerClosed = report.anyLedgerClosed();
    peer.leaving = report.leaving();
    if (report.ledgerClosed()) {
      return;
    }
    applyEntries(peer, report, nowNanos);
    peer.stampReceived(report.stampNanos());
    if (!report.echoed()) {
      return;
    }
    peer.acknowledged(report.echoNanos());
    if (report.renewsLease() && report.epoch() == state.epoch.number()) {
      peer.leaseRenewed(report.echoNanos());
    }
  }

  private void applyEntries(BudgetPeer peer, BudgetMessage.ShareReport report, long nowNanos) {
    for (ShareEntry entry : report.entries()) {
      ResourceShare share = state.table.share(entry.resource(), nowNanos);
      share.refill(nowNanos);
      TransferLedger ledger = peer.ledger(entry.resource());
      share.add(ledger.receive(entry, report.stampNanos(), state.settings));
    }
  }
}
