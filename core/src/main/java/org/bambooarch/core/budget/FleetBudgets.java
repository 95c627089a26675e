package org.bambooarch.core.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.bambooarch.core.budget.internal.BudgetPeer;
import org.bambooarch.core.budget.internal.BudgetState;
import org.bambooarch.core.budget.internal.EpochTracker;
import org.bambooarch.core.budget.internal.ResourceShare;
import org.bambooarch.core.budget.internal.ShareExchange;
import org.bambooarch.core.budget.internal.ShareReclaimer;
import org.bambooarch.core.peer.PeerSender;
import org.bambooarch.core.time.Clock;

/**
 * This instance's part of the rate limits that hold over all instances together.
 *
 * <p>The threads that serve requests call {@link #tryAdmit} and {@link #retryAdmit}, and the other
 * methods marked as safe on any thread. Everything else must be called on one control thread, which
 * calls {@link #tick} every 50 ms.
 *
 * <pre>{@code
 * switch (budgets.tryAdmit("kerala", 1)) {
 *   case ADMITTED -> run(request);
 *   case WAIT -> retrySoon(request);
 *   default -> refuse(request);
 * }
 * }</pre>
 */
public final class FleetBudgets {

  /** Longest useful interval between two calls of {@link #tick}, in nanoseconds. */
  public static final long TICK_NANOS = 50_000_000L;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Clock clock;
  private final BudgetSettings settings;
  private final BudgetState state;
  private final EpochTracker epochTracker;
  private final ShareReclaimer reclaimer;
  private final ShareExchange exchange;

  private FleetBudgets(BudgetState state, BudgetSettings settings, Clock clock) {
    this.state = state;
    this.settings = settings;
    this.clock = clock;
    this.epochTracker = new EpochTracker(state);
    this.reclaimer = new ShareReclaimer(state, epochTracker);
    this.exchange = new ShareExchange(state);
  }

  /**
   * Creates the budgets of an instance that has just started and holds no shares.
   *
   * @param self identity of this run of the instance; its incarnation must exceed those of all
   *     earlier runs
   * @param settings timing and safety rules
   * @param clock source of time
   * @param random source of the random delays before the epoch row is read again
   * @param sender sends messages to the other instances
   * @param store access to the epoch row in the platform's table
   */
  public static FleetBudgets starting(
      MemberId self,
      BudgetSettings settings,
      Clock clock,
      RandomGenerator random,
      PeerSender sender,
      ShareEpochStore store) {
    BudgetState state = new BudgetState(self, settings, clock, random, sender, store);
    return new FleetBudgets(state, settings, clock);
  }

  /**
   * Sets the limits of all resources; to be called whenever the configuration changes. Control
   * thread only.
   */
  public void configure(List<BudgetResource> resources) {
    state.table().configure(resources, clock.monotonicNanos());
  }

  /**
   * Asks for tokens for the first time for a request. Safe on any thread; allocates nothing.
   *
   * @param resource name of the resource
   * @param quanta amount that the request uses, in the resource's unit
   */
  public BudgetDecision tryAdmit(String resource, long quanta) {
    ResourceShare share = state.table().configured(resource);
    if (share == null) {
      return BudgetDecision.UNKNOWN_RESOURCE;
    }
    share.countAttempt(quanta);
    return decide(share, quanta);
  }

  /**
   * Asks again for a request that got {@link BudgetDecision#WAIT}, with the same resource and
   * quanta; any other answer than {@link BudgetDecision#WAIT} ends the wait. Safe on any thread;
   * allocates nothing.
   */
  public BudgetDecision retryAdmit(String resource, long quanta) {
    ResourceShare share = state.table().configured(resource);
    if (share == null) {
      return BudgetDecision.UNKNOWN_RESOURCE;
    }
    BudgetDecision taken = takeTokens(share, quanta);
    if (taken == BudgetDecision.OVER_RATE && share.mayKeepWaiting()) {
      return BudgetDecision.WAIT;
    }
    share.endWait(quanta);
    return taken;
  }

  /**
   * Ends the wait of a request that got {@link BudgetDecision#WAIT} and does not ask again, with
   * the same resource and quanta. Safe on any thread.
   */
  public void abandonWait(String resource, long quanta) {
    ResourceShare share = state.table().configured(resource);
    if (share != null) {
      share.endWait(quanta);
    }
  }

  private BudgetDecision decide(ResourceShare share, long quanta) {
    BudgetDecision taken = takeTokens(share, quanta);
    boolean waits = taken == BudgetDecision.OVER_RATE && share.startWait(quanta);
    return waits ? BudgetDecision.WAIT : taken;
  }

  private BudgetDecision takeTokens(ResourceShare share, long quanta) {
    if (!mayUseShares()) {
      return BudgetDecision.NOT_CONFIRMED;
    }
    if (!share.tryTake(quanta)) {
      return BudgetDecision.OVER_RATE;
    }
    // The lease is checked again after the tokens are taken: it may have expired while the process
    // was paused between the first check and the taking.
    return mayUseShares() ? BudgetDecision.ADMITTED : BudgetDecision.NOT_CONFIRMED;
  }

  private boolean mayUseShares() {
    return state.isLeaseValid() || !settings.enforces(BudgetSettings.Protection.DEADLINE_AT_ADMIT);
  }

  /**
   * Returns whether callers may be sent to this instance: its lease is valid, and more than half of
   * the members of the epoch are live. This instance counts as live, and so does each member that
   * has reported its shares within {@link BudgetSettings#suspectNanos} and whose ledger with this
   * instance is open. Control thread only.
   */
  public boolean isReady() {
    long nowNanos = clock.monotonicNanos();
    int live = state.livePeers(nowNanos, settings.suspectNanos()).size() + 1;
    return state.isLeaseValid() && 2 * live > state.epoch().members().size();
  }

  /**
   * Returns the longest time in nanoseconds that a request should wait after {@link
   * BudgetDecision#WAIT}; safe on any thread.
   */
  public long maxWaitNanos() {
    return settings.maxWaitNanos();
  }

  /**
   * Returns in how many milliseconds a refused caller may try again: the time in which the whole
   * rate refills the quanta, at least 1,000 ms; 1,000 ms for an unknown resource or a zero rate.
   * Safe on any thread.
   */
  public long retryAfterMillis(String resource, long quanta) {
    ResourceShare share = state.table().configured(resource);
    if (share == null || share.quantaPerSecond() <= 0) {
      return (long) MILLIS_PER_SECOND;
    }
    double seconds = quanta / share.quantaPerSecond();
    return Math.max((long) MILLIS_PER_SECOND, (long) Math.ceil(seconds * MILLIS_PER_SECOND));
  }

  /**
   * Refills and moves shares, renews the lease, reclaims the shares of dead members and sends
   * reports. Control thread only.
   */
  public void tick() {
    exchange.sampleEmptyUnits();
    long nowNanos = clock.monotonicNanos();
    exchange.refillAndMeasure(nowNanos);
    epochTracker.tick(nowNanos);
    reclaimer.tick(nowNanos);
    exchange.transferAndReport(nowNanos);
  }

  /**
   * Handles a message of another instance; a message for another run of this instance is ignored.
   * Control thread only.
   */
  public void onMessage(BudgetMessage message) {
    if (!message.to().equals(state.self())) {
      return;
    }
    long nowNanos = clock.monotonicNanos();
    switch (message) {
      case BudgetMessage.ShareReport report -> exchange.onReport(report, nowNanos);
      case BudgetMessage.EpochNotice notice -> epochTracker.adopt(notice.epoch(), nowNanos);
      case BudgetMessage.CloseLedger request -> {
        if (state.epoch() != null) {
          reclaimer.onCloseLedger(request, nowNanos);
        }
      }
      case BudgetMessage.LedgerClosed report -> reclaimer.onLedgerClosed(report);
    }
  }

  /** Handles a result of the store; control thread only. */
  public void onStoreAnswer(ShareEpochStore.Answer answer) {
    epochTracker.onAnswer(answer, clock.monotonicNanos());
  }

  /** Starts to give all shares to peers, before a planned stop; control thread only. */
  public void leave() {
    state.leave();
  }

  /** Returns a snapshot for the operators; control thread only. */
  public BudgetDump dump() {
    long nowNanos = clock.monotonicNanos();
    List<BudgetDump.Share> shares = new ArrayList<>();
    for (ResourceShare share : state.table().configured()) {
      shares.add(
          new BudgetDump.Share(
              share.name(),
              share.held(),
              share.demandQuantaPerSecond(),
              share.unitsPerQuantum() == 0
                  ? 0
                  : share.held().fullUnits() / share.unitsPerQuantum()));
    }
    List<BudgetDump.PeerState> peers = new ArrayList<>();
    for (BudgetPeer peer : state.peers()) {
      peers.add(peer.toPeerState(nowNanos));
    }
    long usableForNanos = state.isLeaseValid() ? state.leaseEndNanos() - nowNanos : 0;
    return new BudgetDump(
        state.self(),
        state.epoch() == null ? 0 : state.epoch().number(),
        usableForNanos,
        shares,
        peers);
  }
}
