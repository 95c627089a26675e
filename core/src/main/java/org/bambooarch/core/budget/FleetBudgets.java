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
 * This instance's part of the budgets that hold over all instances together.
 *
 * <p>Traffic threads call {@link #tryAdmit} and {@link #retryAdmit}. Everything else belongs to one
 * control thread, which calls {@link #tick} every 50 ms.
 *
 * <pre>{@code
 * switch (budgets.tryAdmit("kerala", 1)) {
 *   case ADMITTED -> run(request);
 *   case WAIT -> askAgainSoon(request);
 *   default -> refuse(request);
 * }
 * }</pre>
 */
public final class FleetBudgets {

  /** Longest useful time between two ticks, in nanoseconds. */
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
   * Creates the budgets of an instance that just started and holds nothing.
   *
   * @param self this run of the instance; the incarnation must exceed those of all earlier runs
   * @param settings timing
   * @param clock source of time
   * @param random source of jitter
   * @param sender way to the other instances
   * @param store the epoch row in the platform's table
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

  /** Sets the limits of all resources, whenever the configuration changes. */
  public void configure(List<BudgetResource> resources) {
    state.table().configure(resources, clock.monotonicNanos());
  }

  /**
   * Asks for budget on the first attempt of a request; safe on any thread, allocates nothing.
   *
   * @param resource name of the resource
   * @param quanta how much is used, in the resource's unit
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
   * Asks again for a request that was told to wait; any other answer than {@link
   * BudgetDecision#WAIT} ends the wait. Safe on any thread, allocates nothing.
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

  /** Ends the wait of a request that does not ask again; safe on any thread. */
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
    // The deadline is read after the token, so that a pause between the two cannot hide it.
    return mayUseShares() ? BudgetDecision.ADMITTED : BudgetDecision.NOT_CONFIRMED;
  }

  private boolean mayUseShares() {
    return state.isLeaseValid() || !settings.enforces(BudgetSettings.Protection.DEADLINE_AT_ADMIT);
  }

  /**
   * Returns whether callers may be sent here: the shares are confirmed and more than half of the
   * members have reported what they hold. Control thread only.
   */
  public boolean isReady() {
    long nowNanos = clock.monotonicNanos();
    int live = state.livePeers(nowNanos, settings.suspectNanos()).size() + 1;
    return state.isLeaseValid() && 2 * live > state.epoch().members().size();
  }

  /** Returns the longest time that a request should wait after {@link BudgetDecision#WAIT}. */
  public long maxWaitNanos() {
    return settings.maxWaitNanos();
  }

  /** Returns when a refused caller may come back, in milliseconds from now; safe on any thread. */
  public long retryAfterMillis(String resource, long quanta) {
    ResourceShare share = state.table().configured(resource);
    if (share == null || share.quantaPerSecond() <= 0) {
      return (long) MILLIS_PER_SECOND;
    }
    double seconds = quanta / share.quantaPerSecond();
    return Math.max((long) MILLIS_PER_SECOND, (long) Math.ceil(seconds * MILLIS_PER_SECOND));
  }

  /** Moves shares, renews confirmations and sends reports; control thread only. */
  public void tick() {
    exchange.sampleEmptyUnits();
    long nowNanos = clock.monotonicNanos();
    exchange.refillAndMeasure(nowNanos);
    epochTracker.tick(nowNanos);
    reclaimer.tick(nowNanos);
    exchange.transferAndReport(nowNanos);
  }

  /** Takes in a message of another instance; control thread only. */
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

  /** Takes in a result of the store; control thread only. */
  public void onStoreAnswer(ShareEpochStore.Answer answer) {
    epochTracker.onAnswer(answer, clock.monotonicNanos());
  }

  /** Starts to give all shares away, for a planned stop; control thread only. */
  public void leave() {
    state.leave();
  }

  /** Returns the state for a dump; control thread only. */
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
      peers.add(peer.dump(nowNanos));
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
