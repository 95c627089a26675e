package org.bambooarch.core.routing;

import java.util.random.RandomGenerator;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.routing.internal.AdaptiveLimits;
import org.bambooarch.core.routing.internal.OutlierEjection;
import org.bambooarch.core.routing.internal.PoolCounters;
import org.bambooarch.core.routing.internal.ServerPool;
import org.bambooarch.core.routing.internal.SpilloverControl;
import org.bambooarch.core.routing.internal.TargetState;
import org.bambooarch.core.routing.internal.TargetView;
import org.bambooarch.core.routing.internal.TargetViewBuilder;
import org.bambooarch.core.time.Clock;

/**
 * Chooses a target server for each request by health, free capacity, latency and link budget.
 *
 * <p>The servers of this instance's region come first. With the default settings, two of them are
 * drawn at random and the one with the lower expected time is taken (power of two choices;
 * Mitzenmacher, 2001). Other regions are used when the local region has lacked capacity for a while
 * or has no available server, and only within the link's budget.
 *
 * <p>Request threads call {@link #choose}; when it returns a server, they call exactly one of
 * {@link #onAnswered}, {@link #onFailed}, {@link #onShed} and {@link #onCancelled} for it. None of
 * these methods allocates or blocks. The control thread calls {@link #tick}, {@link #onReport} and
 * {@link #reconfigured}.
 *
 * <pre>{@code
 * switch (chooser.choose(route, TargetChooser.NONE_EXCLUDED, ThreadLocalRandom.current())) {
 *   case ChosenServer chosen -> send(request, chosen);
 *   case Choice.NoRoom noRoom -> queue(request);
 *   case Choice.NoTarget noTarget -> refuse(request);
 * }
 * }</pre>
 */
public final class TargetChooser {

  /** Argument of {@link #choose} for a request that may use every server. */
  public static final int[] NONE_EXCLUDED = {};

  private static final Choice NO_ROOM = new Choice.NoRoom();
  private static final Choice NO_TARGET = new Choice.NoTarget();

  /** Time for which the report of a server bounds its limit. */
  private static final long REPORT_LIFETIME_NANOS = 15_000_000_000L;

  private final TargetTable table;
  private final RoutingSettings settings;
  private final Clock clock;
  private final TargetState state;
  private final ServerPicker picker;

  /** By index of the route, then of the server. */
  private final ChosenServer[][] chosen;

  /** Replaced by the control thread on each tick; read by the request threads. */
  private volatile TargetView view;

  private long lastTickNanos;

  private TargetChooser(
      TargetTable table,
      LinkBudgets links,
      RoutingSettings settings,
      Clock clock,
      TargetState state) {
    this.table = table;
    this.settings = settings;
    this.clock = clock;
    this.state = state;
    this.picker = new ServerPicker(state.serverCounters, settings.serversCompared());
    this.lastTickNanos = clock.monotonicNanos();
    this.chosen = ChosenServerFactory.create(table, links, state);
    this.view = TargetViewBuilder.build(state, settings, lastTickNanos);
  }

  /** Returns a chooser with the default settings and empty counters. */
  public static TargetChooser create(TargetTable table, LinkBudgets links, Clock clock) {
    return create(table, links, RoutingSettings.defaults(), clock);
  }

  /** Returns a chooser with the given settings and empty counters. */
  public static TargetChooser create(
      TargetTable table, LinkBudgets links, RoutingSettings settings, Clock clock) {
    TargetState state = TargetStateFactory.create(table, settings, clock.monotonicNanos());
    return new TargetChooser(table, links, settings, clock, state);
  }

  /**
   * Returns a chooser for a changed table; servers that remain keep their counters and limits.
   *
   * <p>A request whose server was chosen before the change may be ended on either chooser.
   */
  public TargetChooser reconfigured(TargetTable changedTable, LinkBudgets changedLinks) {
    long now = clock.monotonicNanos();
    TargetState changed = TargetStateFactory.carryOver(table, state, changedTable, settings, now);
    return new TargetChooser(changedTable, changedLinks, settings, clock, changed);
  }

  /** Returns the table whose indexes the arguments and results of this chooser refer to. */
  public TargetTable table() {
    return table;
  }

  /**
   * Chooses a server and takes one of its slots, with the priority that the route declares.
   *
   * @param route index of the route in {@link #table()}
   * @param excludedServers indexes of servers that this request must not use again
   * @param random random number generator of the calling thread
   */
  public Choice choose(int route, int[] excludedServers, RandomGenerator random) {
    return choose(route, table.route(route).priority(), excludedServers, random);
  }

  /**
   * Chooses as {@link #choose(int, int[], RandomGenerator)} does, with the given priority in place
   * of the route's.
   */
  public Choice choose(
      int route, PriorityClass priority, int[] excludedServers, RandomGenerator random) {
    TargetView current = view;
    int service = table.serviceOfRoute(route);
    ServerPool[] pools = table.pools()[service];
    boolean anyAvailable = false;
    for (int pool = 0; pool < pools.length; pool++) {
      int poolLimit = current.poolLimit()[service][pool];
      if (poolLimit == 0 || !picker.hasUsableServer(current, pools[pool], excludedServers)) {
        continue;
      }
      if (anyAvailable && pools[pool].remote() && !current.spilloverActive()[service]) {
        break;
      }
      anyAvailable = true;
      ChosenServer found =
          chooseFromPool(
              current,
              route,
              service,
              pool,
              maxInFlight(poolLimit, priority),
              excludedServers,
              random);
      if (found != null) {
        state.poolCounters[service][pool].addChosen();
        return found;
      }
      if (priority != PriorityClass.BULK) {
        state.poolCounters[service][pool].addNoRoom();
      }
    }
    return anyAvailable ? NO_ROOM : NO_TARGET;
  }

  /**
   * Ends a request whose response was received completely; {@code latencyNanos} enters the mean.
   */
  public void onAnswered(ChosenServer ended, long latencyNanos) {
    ended.counters().answered(latencyNanos);
    releasePoolAndLink(ended);
  }

  /** Ends a request that failed at the server: a broken connection, a 5xx response or a timeout. */
  public void onFailed(ChosenServer ended) {
    ended.counters().failed();
    releasePoolAndLink(ended);
  }

  /** Ends a request that the server refused to run because it is overloaded (429 or 503). */
  public void onShed(ChosenServer ended) {
    ended.counters().shed(clock.monotonicNanos());
    releasePoolAndLink(ended);
  }

  /**
   * Ends a request whose end says nothing about the server's health, such as one that its caller
   * cancelled.
   */
  public void onCancelled(ChosenServer ended) {
    ended.counters().cancelled();
    releasePoolAndLink(ended);
  }

  /**
   * Applies what a server reports about itself. A report can only lower the server's limit, and
   * only for 15 seconds. A report of an unknown server is ignored.
   */
  public void onReport(TargetReport report) {
    for (int server = 0; server < table.servers().size(); server++) {
      if (table.servers().get(server).name().equals(report.server())) {
        applyReport(server, report);
        return;
      }
    }
  }

  /**
   * Updates limits, ejections and spillover from the counters and publishes the result to the
   * request threads.
   */
  public void tick() {
    long now = clock.monotonicNanos();
    long elapsedNanos = now - lastTickNanos;
    lastTickNanos = now;
    AdaptiveLimits.update(state, settings, elapsedNanos);
    OutlierEjection.update(state, settings, now);
    SpilloverControl.update(state, settings, localLimits(), elapsedNanos);
    view = TargetViewBuilder.build(state, settings, now);
  }

  /** Returns the number of requests that this instance has in flight at a server. */
  public int inFlight(int server) {
    return state.serverCounters[server].inFlight();
  }

  /**
   * Returns the number of requests that this instance may have in flight at a server; 0 if the
   * server is completely drained, is ejected or has reported that it is draining.
   */
  public int limit(int server) {
    return view.limit()[server];
  }

  /**
   * Returns whether a server is ejected because of failures. This reads the state of the control
   * thread, so other threads may see an older value.
   */
  public boolean isEjected(int server) {
    return state.ejected[server];
  }

  /** Returns whether requests to a service may use servers in other regions now. */
  public boolean isSpillingOver(int service) {
    return view.spilloverActive()[service];
  }

  /** Returns null if the pool has no free capacity within the given limit or the link budget. */
  private ChosenServer chooseFromPool(
      TargetView current,
      int route,
      int service,
      int pool,
      int maxInFlight,
      int[] excluded,
      RandomGenerator random) {
    PoolCounters counters = state.poolCounters[service][pool];
    if (!counters.tryAcquire(maxInFlight)) {
      return null;
    }
    ServerPool servers = table.pools()[service][pool];
    int server = picker.acquire(current, servers, excluded, random, clock.monotonicNanos());
    if (server != ServerPicker.NONE) {
      ChosenServer found = chosen[route][server];
      if (found.tryReserveLink()) {
        return found;
      }
      state.serverCounters[server].cancelled();
    }
    counters.release();
    return null;
  }

  /** Lower priorities may not fill a pool, so that capacity is left for the higher ones. */
  private int maxInFlight(int poolLimit, PriorityClass priority) {
    return switch (priority) {
      case COUNTER -> poolLimit;
      case BROWSE -> (int) Math.ceil(poolLimit * settings.maxBrowseShare());
      case BULK -> (int) (poolLimit * settings.maxBulkShare());
    };
  }

  private static void releasePoolAndLink(ChosenServer ended) {
    ended.poolCounters().release();
    ended.releaseLink();
  }

  private void applyReport(int server, TargetReport report) {
    boolean full = report.slotsInUse() >= state.slots[server];
    if (report.draining()) {
      state.reportedCap[server] = 0;
    } else if (!report.healthy()) {
      state.reportedCap[server] = 1;
    } else if (full) {
      state.reportedCap[server] = Math.max(1, (int) state.limit[server]);
    } else {
      return;
    }
    state.reportExpiresNanos[server] = clock.monotonicNanos() + REPORT_LIFETIME_NANOS;
  }

  /** Returns the limit of each service's pool in the local region, 0 where it has none. */
  private int[] localLimits() {
    int[] limits = new int[state.pools.length];
    for (int service = 0; service < limits.length; service++) {
      boolean hasLocal = state.pools[service].length > 0 && !state.pools[service][0].remote();
      limits[service] = hasLocal ? view.poolLimit()[service][0] : 0;
    }
    return limits;
  }
}
