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
  private static final long QUIET_INTERVAL_NANOS = 200_000_000L;
  private static final double DEMAND_STEP = 0.03;
  private static final double TOLERANCE = 0.1;
  private static final double DAMPING = 0.5;
  private static final double SCARCITY = 1.2;
  private static final int RANK_MIX = 0x9E3779B1;
  private static final double OVERLOAD = 1.5;
  private static final int SCARCE_PART = 10;

  private final BudgetState state;
  private boolean ticked;
  private long tickedNanos;

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
    final double elapsedSeconds = ticked ? (nowNanos - tickedNanos) / NANOS_PER_SECOND : 0;
    boolean paused = ticked && nowNanos - tickedNanos > state.settings.suspectNanos() / 2;
    if (paused) {
      forgiveSilence(nowNanos);
    }
    ticked = true;
    tickedNanos = nowNanos;
    for (ResourceShare share : state.table.all()) {
      share.refillAndAdvance(nowNanos);
      share.measureDemand(elapsedSeconds);
    }
  }

  /** Blames nobody for the time in which this process itself stood still. */
  private void forgiveSilence(long nowNanos) {
    for (BudgetPeer peer : state.peers.values()) {
      peer.heardNanos = nowNanos;
    }
  }

  /** Moves shares and reports, once per tick. */
  public void transferAndReport(long nowNanos) {
    if (!state.isMember()) {
      return;
    }
    List<BudgetPeer> live = state.livePeers(nowNanos, state.settings.suspectNanos() / 2);
    for (ResourceShare share : state.table.configured()) {
      noteTokensElsewhere(share, live);
      if (state.isLeaseValid()) {
        serveWaiting(share, live, nowNanos);
        balance(share, live, nowNanos);
      }
    }
    for (BudgetPeer peer : state.peers.values()) {
      if (isShut(peer)) {
        reportLife(peer, nowNanos);
      } else {
        report(peer, nowNanos);
      }
    }
  }

  private boolean isShut(BudgetPeer peer) {
    return state.closed.contains(peer.id);
  }

  /**
   * Notes what waiting requests can hope for: what peers hold and what the rate brings meanwhile;
   * nothing when the fleet is asked for more than the rate allows and has no tokens left.
   */
  private void noteTokensElsewhere(ResourceShare share, List<BudgetPeer> live) {
    long elsewhere = 0;
    double demand = share.demandQuantaPerSecond();
    for (BudgetPeer peer : live) {
      elsewhere += Math.max(0, peer.ledger(share.name()).expectedHeld().fullUnits());
      demand += peer.ledger(share.name()).demandQuantaPerSecond();
    }
    boolean overRate = demand > OVERLOAD * share.quantaPerSecond();
    if (overRate) {
      boolean scarce = elsewhere < ShareAmount.WHOLE / SCARCE_PART;
      share.setObtainableUnits(scarce ? 0 : elsewhere);
      return;
    }
    double waitSeconds = state.settings.maxWaitNanos() / NANOS_PER_SECOND;
    double soon = share.quantaPerSecond() * waitSeconds * share.unitsPerQuantum();
    share.setObtainableUnits(elsewhere + (long) soon);
  }

  private void serveWaiting(ResourceShare share, List<BudgetPeer> live, long nowNanos) {
    long spare = share.held().fullUnits() - share.waitingUnits();
    for (BudgetPeer peer : live) {
      TransferLedger ledger = peer.ledger(share.name());
      long wanted = ledger.wantedUnits();
      if (wanted <= 0 || spare <= 0) {
        continue;
      }
      ledger.wantServed();
      double others = spare;
      for (BudgetPeer other : live) {
        if (other != peer) {
          others += Math.max(0, other.ledger(share.name()).expectedHeld().fullUnits());
        }
      }
      boolean scarce = others < SCARCITY * wanted;
      long gift = scarce ? spare : (long) Math.min(spare, wanted * (spare / others) + 1);
      give(share, peer, new ShareAmount(0, gift, 0), nowNanos);
      spare -= gift;
    }
  }

  private void balance(ResourceShare share, List<BudgetPeer> live, long nowNanos) {
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
    long[] rateGifts = gifts(rate, weights.rate(), 1);
    long[] fullGifts = gifts(full, weights.capacity(), share.unitsPerQuantum());
    long[] emptyGifts = gifts(empty, weights.capacity(), share.unitsPerQuantum());
    for (int i = 1; i < count; i++) {
      ShareAmount gift = new ShareAmount(rateGifts[i], fullGifts[i], emptyGifts[i]);
      give(share, live.get(i - 1), gift, nowNanos);
    }
  }

  /** Orders the members differently for each resource, so that no member holds many. */
  private static int rank(String resource, MemberId id) {
    return (resource + "/" + id.name()).hashCode() * RANK_MIX;
  }

  private static long[] gifts(long[] held, double[] weights, long grainUnits) {
    if (weights[0] == 0) {
      return ShareBalancer.gifts(held, weights, 0, 1, 1);
    }
    double total = 0;
    for (long units : held) {
      total += Math.max(0, units);
    }
    double toleranceUnits = TOLERANCE * Math.max(total * weights[0], total / held.length);
    return ShareBalancer.gifts(held, weights, toleranceUnits, DAMPING, Math.max(1, grainUnits));
  }

  private void give(ResourceShare share, BudgetPeer peer, ShareAmount wanted, long nowNanos) {
    if (wanted.isNone()) {
      return;
    }
    ShareAmount given = share.remove(wanted);
    if (!given.isNone()) {
      peer.ledger(share.name()).send(given, nowNanos);
    }
  }

  /** Shows a member whose ledger is closed that this one lives, and promises it nothing. */
  private void reportLife(BudgetPeer peer, long nowNanos) {
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

  private void report(BudgetPeer peer, long nowNanos) {
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
      long demandStep = (long) (DEMAND_STEP * share.quantaPerSecond() * 1_000);
      boolean news = ledger.isNews(entry, demandStep, nowNanos, peer.acknowledgedNanos);
      if (news || !peer.anyAcknowledged) {
        entries.add(entry);
      }
    }
    boolean due = !peer.anyReported || nowNanos - peer.reportedNanos >= QUIET_INTERVAL_NANOS;
    if (entries.isEmpty() && !due) {
      return;
    }
    peer.anyReported = true;
    peer.reportedNanos = nowNanos;
    boolean renewsLease = peer.knownEpoch == state.epoch.number() && !isShut(peer);
    state.send(
        new BudgetMessage.ShareReport(
            state.self,
            peer.id,
            state.epoch.number(),
            nowNanos,
            peer.latestStampNanos,
            peer.anyStamp,
            renewsLease,
            !state.closed.isEmpty(),
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
    peer.heardNanos = nowNanos;
    peer.knownEpoch = Math.max(peer.knownEpoch, report.epoch());
    boolean shut =
        state.closed.contains(peer.id) && state.settings.enforces(Protection.CLOSED_LEDGER);
    if (shut) {
      return;
    }
    peer.frozen = report.anyLedgerClosed();
    peer.leaving = report.leaving();
    if (report.ledgerClosed()) {
      return;
    }
    takeEntries(peer, report, nowNanos);
    peer.stampReceived(report.stampNanos());
    if (!report.echoed()) {
      return;
    }
    peer.acknowledged(report.echoNanos());
    if (report.renewsLease() && report.epoch() == state.epoch.number()) {
      peer.leaseRenewed(report.echoNanos());
    }
  }

  private void takeEntries(BudgetPeer peer, BudgetMessage.ShareReport report, long nowNanos) {
    for (ShareEntry entry : report.entries()) {
      ResourceShare share = state.table.share(entry.resource(), nowNanos);
      share.refill(nowNanos);
      TransferLedger ledger = peer.ledger(entry.resource());
      share.add(ledger.receive(entry, report.stampNanos(), state.settings));
    }
  }
}
