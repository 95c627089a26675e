package org.bambooarch.core.budget.internal;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.budget.BudgetMessage;
import org.bambooarch.core.budget.BudgetSettings.Protection;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareAmount;
import org.bambooarch.core.budget.ShareEntry;

/** Moves shares to where they are asked for, and reports to all members once per tick. */
public final class ShareExchange {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long MAX_REPORT_INTERVAL_NANOS = 200_000_000L;
  private static final double DEMAND_THRESHOLD_FRACTION = 0.03;
  private static final double TOLERANCE_FRACTION = 0.1;
  private static final double DAMPING_FRACTION = 0.5;
  private static final double SCARCITY_FACTOR = 1.2;
  private static final int RANK_HASH_MULTIPLIER = 0x9E3779B1;
  private static final double OVERLOAD_FACTOR = 1.5;
  private static final int SCARCE_DIVISOR = 10;

  private final BudgetState state;
  private boolean hasTicked;
  private long lastTickNanos;

  /** Creates the system over the given state. */
  public ShareExchange(BudgetState state) {
    this.state = state;
  }

  /** Runs before the time of the tick is read. */
  public void sampleEmptyUnits() {
    for (ResourceShare share : state.table.all()) {
      share.sampleEmpty();
    }
  }

  /** Runs once per tick, before the other systems judge who is silent. */
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

  /** Blames nobody for the time in which this process itself stood still. */
  private void resetSilence(long nowNanos) {
    for (BudgetPeer peer : state.peers.values()) {
      peer.lastHeardNanos = nowNanos;
    }
  }

  /** Moves shares and reports, once per tick. */
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
   * Notes what waiting requests can hope for: what peers hold and what the rate brings meanwhile;
   * nothing when the fleet is asked for more than the rate allows and has no tokens left.
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

  private void rebalance(ResourceShare share, List<BudgetPeer> live, long nowNanos) {
    int count = live.size() + 1;
    double[] demands = new double[count];
    int[] ranks = new int[count];
    boolean[] leaving = new boolean[count];
    long[] rate = new long[count];
    long[] full = new long[count];
    long[] empty = new long[count];
    for (int i = 0; i < count; i++) {
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
    for (int i = 1; i < count; i++) {
      ShareAmount transfer = new ShareAmount(rateTransfers[i], fullTransfers[i], emptyTransfers[i]);
      moveToPeer(share, live.get(i - 1), transfer, nowNanos);
    }
  }

  /** Orders the members differently for each resource, so that no member holds many. */
  private static int rank(String resource, MemberId id) {
    return (resource + "/" + id.name()).hashCode() * RANK_HASH_MULTIPLIER;
  }

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

  /** Shows a member whose ledger is closed that this one lives, and promises it nothing. */
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

  /** Takes in a report of another member. */
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
