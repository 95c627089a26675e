package org.bambooarch.gateway.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServicePolicy;
import org.bambooarch.core.steering.config.SmoothWeightedRoundRobin;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.fleet.CrashHistory;
import org.bambooarch.core.steering.fleet.CustomerRateLimiter;
import org.bambooarch.core.steering.fleet.FleetTable;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.bambooarch.core.steering.fleet.RelayChoice;
import org.bambooarch.core.steering.fleet.ServiceRetryBudgets;
import org.bambooarch.core.steering.fleet.StopOrder;
import org.bambooarch.core.steering.fleet.StoppingInstance;
import org.bambooarch.core.steering.place.LimitShares;
import org.bambooarch.core.steering.place.ServerChooser;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.steering.place.ServerOwners;
import org.bambooarch.core.steering.place.ServerReachability;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.core.steering.place.ServerTable;
import org.bambooarch.core.time.Clock;
import org.bambooarch.gateway.GatewaySettings;
import org.bambooarch.gateway.spi.ControlChange;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.tinylog.Logger;

/**
 * All state from which decisions about requests are made.
 *
 * <p>Used on the event loop only, except for {@link #isShuttingDown()}. An instance has one core,
 * so the event loop of the control state also handles the traffic: a second thread would only add
 * context switches.
 */
public final class ControlState implements RelaySelector {

  /** Cold start of servers whose service has no policy in the configuration. */
  private static final long DEFAULT_COLD_START_MILLIS = 3_000;

  /**
   * Time after the store returned from an older copy for which data centres stay closed that the
   * copy does not list as closed, in nanoseconds: 5 s. Operators' entries are written again by
   * then.
   */
  private static final long KEEP_CLOSED_NANOS = 5_000_000_000L;

  /**
   * Longest time since the store was asked for the newest configuration for which requests may be
   * refused for good by it, in milliseconds. Changes must be in force everywhere after two seconds.
   */
  private static final long MAX_CONFIRMED_AGE_MILLIS = 1_000;

  /**
   * Time for which the store has told others of a newer configuration after which the one in force
   * here is used no longer, as a part of the longest age of the operators' list. It exceeds the
   * time between two confirmations of an instance that asks for itself, so that instances of builds
   * that hash the list differently do not refuse requests.
   */
  private static final double OVERDUE_FRACTION = 0.6;

  /** Delay of a tick from which on the event loop counts as late, in nanoseconds: 20 ms. */
  private static final long LATE_NANOS = 20_000_000L;

  /** Time between two calls of {@link #tick()}. */
  public static final long TICK_MILLIS = 100;

  /** Fraction of the fleet's retry slack that all instances together may accumulate. */
  private static final double RETRY_SLACK_FRACTION = 0.4;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Clock clock;
  private final FleetTable fleet;
  private final ServerTable servers;
  private final ServerReachability reachability;
  private final ServerDirectives serverDirectives;
  private final ServerChooser chooser;
  private final ServerOwners coldOwners;
  private final ServerOwners limitOwners;
  private final LimitShares limitShares;
  private final CustomerRateLimiter rateLimiter;
  private final ListProgress listProgress;
  private final long maxOverdueMillis;
  private final CrashHistory crashes = new CrashHistory();
  private final ServiceRetryBudgets retries;
  private final SmoothWeightedRoundRobin roundRobin = new SmoothWeightedRoundRobin();
  private final Set<String> listedClosed = new HashSet<>();
  private SteeringConfig config;
  private long newestKnownVersion;
  private long missedConfigurationSinceNanos;
  private boolean operatorListReachable = true;
  private boolean newestConfigurationUnknown;
  private boolean keepsClosed;
  private long keepClosedUntilNanos;
  private volatile boolean shuttingDown;
  private Optional<StopSchedule> stopSchedule = Optional.empty();
  private boolean leavesLast;
  private long lastTickNanos;
  private long lastTickLatenessNanos;

  /** Creates the state of an instance without a configuration, servers or other instances. */
  public ControlState(GatewaySettings settings, Clock clock) {
    this.clock = clock;
    this.fleet = new FleetTable(settings.identity());
    this.servers = new ServerTable(settings.regionByDataCentre());
    this.reachability = new ServerReachability(servers);
    this.serverDirectives = new ServerDirectives(servers, clock);
    this.coldOwners = new ServerOwners(settings.identity());
    this.limitOwners = new ServerOwners(settings.identity());
    this.limitShares = new LimitShares(limitOwners);
    this.chooser =
        new ServerChooser(servers, settings.identity().region(), coldOwners, limitShares);
    this.rateLimiter = new CustomerRateLimiter(fleet, settings.quotaTolerance());
    int typicalInstances = Math.max(1, 2 * settings.regionByDataCentre().size());
    this.retries =
        new ServiceRetryBudgets(
            settings.retryRatio(), settings.retrySlack() * RETRY_SLACK_FRACTION / typicalInstances);
    this.lastTickNanos = clock.monotonicNanos();
    this.listProgress = new ListProgress(lastTickNanos);
    this.maxOverdueMillis = (long) (settings.listAgeBounds().operatorsMillis() * OVERDUE_FRACTION);
  }

  /**
   * Replaces a list by its full content: data centres and servers that the update lacks are
   * reopened or removed. Other instances that it lacks stay known until their heartbeats cease.
   */
  public void replaceList(Topic topic, ControlUpdate update) {
    update.changes().forEach(ControlState::logUnreadable);
    listProgress.onReplaced(topic, update);
    if (topic == Topic.OPERATOR) {
      replaceOperatorEntries(update.changes());
    } else if (topic == Topic.SERVERS) {
      replaceServers(update.changes());
    } else {
      update.changes().forEach(this::apply);
      fleet.onListRead(clock.monotonicNanos());
      updateRateLimiter();
    }
  }

  /** Divides the customers' rates at once, since requests may arrive before the next tick. */
  private void updateRateLimiter() {
    if (config != null) {
      rateLimiter.tick(config, clock.monotonicNanos(), 0);
    }
  }

  private void replaceOperatorEntries(List<ControlChange> changes) {
    listedClosed.clear();
    // The configuration is known again once the list turns out to contain it.
    newestConfigurationUnknown = config != null;
    changes.forEach(this::apply);
    reopenUnlisted();
  }

  private void reopenUnlisted() {
    if (keepsClosed) {
      return;
    }
    for (String dataCentre : servers.evacuatedDataCentres()) {
      if (!listedClosed.contains(dataCentre)) {
        apply(new ControlChange.DataCentreReopened(dataCentre));
      }
    }
  }

  /**
   * Records that the store has returned from an older copy. Until the rows that it lost are written
   * again, data centres stay closed, servers that left stay out of use, and servers that are
   * missing stay in use as after any return of the store.
   */
  public void onStoreReverted() {
    long nowNanos = clock.monotonicNanos();
    keepsClosed = true;
    keepClosedUntilNanos = nowNanos + KEEP_CLOSED_NANOS;
    servers.onStoreReverted(nowNanos);
    servers.onStoreReturned(nowNanos);
  }

  private void replaceServers(List<ControlChange> changes) {
    List<ServerEntry> entries = new ArrayList<>();
    for (ControlChange change : changes) {
      if (change instanceof ControlChange.ServerListed(ServerEntry server)) {
        entries.add(server);
      }
    }
    servers.replaceAll(entries, coldStartMillis(""), clock.monotonicNanos());
    Logger.info("event=servers-read servers={}", entries.size());
  }

  /** Applies the changes of an update, in order. */
  public void applyChanges(ControlUpdate update) {
    for (ControlChange change : update.changes()) {
      logUnreadable(change);
      listProgress.onApplied(change);
      apply(change);
    }
  }

  private static void logUnreadable(ControlChange change) {
    if (change instanceof ControlChange.UnreadableEntry unreadable) {
      Logger.warn(
          "event=unreadable place={} reason=\"entry cannot be read: {}\"",
          unreadable.place(),
          unreadable.message());
    }
  }

  private void apply(ControlChange change) {
    long nowNanos = clock.monotonicNanos();
    switch (change) {
      case ControlChange.ConfigurationChanged(SteeringConfig newConfig) ->
          applyConfiguration(newConfig);
      case ControlChange.DataCentreClosed(String dataCentre) -> {
        Logger.info("event=data-centre-closed data-centre={}", dataCentre);
        listedClosed.add(dataCentre);
        servers.evacuate(dataCentre);
      }
      case ControlChange.DataCentreReopened(String dataCentre) -> {
        listedClosed.remove(dataCentre);
        Logger.info("event=data-centre-reopened data-centre={}", dataCentre);
        servers.reopen(dataCentre, coldStartMillis(""), nowNanos);
      }
      case ControlChange.ServerListed(ServerEntry server) -> {
        logServerIfChanged(server);
        servers.put(server, coldStartMillis(server.service()), nowNanos);
      }
      case ControlChange.ServerRemoved(String id) -> {
        Logger.info("event=server-gone server={}", id);
        servers.remove(id, nowNanos);
      }
      case ControlChange.InstanceListed listed -> fleet.onListed(listed.instance(), nowNanos);
      case ControlChange.ConfigurationRemoved removed -> onNewestConfigurationUnknown("removed");
      case ControlChange.UnreadableEntry unreadable -> {
        if (unreadable.isConfiguration()) {
          onNewestConfigurationUnknown("unreadable");
        }
      }
    }
  }

  private void logServerIfChanged(ServerEntry server) {
    Optional<ServerState> known = servers.find(server.id());
    if (known.isEmpty() || known.get().entry().draining() != server.draining()) {
      Logger.info(
          "event=server-listed server={} service={} draining={} cold-for-millis={}",
          server.id(),
          server.service(),
          server.draining(),
          server.coldLeftMillis());
    }
  }

  /**
   * Records a response of the store that was applied.
   *
   * @param asOfNanos monotonic time as of which the list holds, or an earlier one
   */
  void onListRead(Topic topic, ControlUpdate update, long asOfNanos) {
    listProgress.onRead(topic, update, asOfNanos, clock.monotonicNanos());
  }

  /**
   * Returns the time since the store has last confirmed a list, to this instance or to one that
   * knows the same content, in nanoseconds.
   */
  long listAgeNanos(Topic topic) {
    return listProgress.ageNanos(topic, clock.monotonicNanos());
  }

  /** Returns the same in seconds, for the metrics. */
  public double listAgeSeconds(Topic topic) {
    return listAgeNanos(topic) / 1e9;
  }

  /** Returns what this instance knows of the store's lists, as its heartbeats report it. */
  ListVersions listVersions() {
    return listProgress.own();
  }

  /**
   * Returns the time of the store's steady clock at the last confirmation of a list, in
   * milliseconds; 0 if unknown.
   */
  long confirmedStoreMillis(Topic topic) {
    return listProgress.confirmedStoreMillis(topic);
  }

  /**
   * Returns the time of the store's steady clock at a monotonic time, in milliseconds; empty before
   * the store has stated one.
   */
  OptionalLong storeMillisAt(long nanos) {
    return listProgress.storeMillisAt(nanos);
  }

  /**
   * Records that the store responds again to this instance. It may have responded to others before.
   *
   * @param minLapseNanos shortest outage in which entries of running servers can lapse
   */
  void onStoreRegained(long minLapseNanos) {
    if (listAgeNanos(Topic.SERVERS) < minLapseNanos) {
      return;
    }
    servers.onStoreReturned(
        listProgress.confirmedForOthersNanos(Topic.SERVERS).orElse(clock.monotonicNanos()));
  }

  /**
   * Returns for how long another instance has been known to have a newer state of a list than this
   * one, in nanoseconds; 0 if none has.
   */
  long listBehindNanos(Topic topic) {
    long nowNanos = clock.monotonicNanos();
    long behindNanos = listProgress.behindNanos(topic, nowNanos);
    return topic == Topic.OPERATOR && hasMissedConfiguration()
        ? Math.max(behindNanos, nowNanos - missedConfigurationSinceNanos)
        : behindNanos;
  }

  /**
   * Records whether the store's last response about a list was a success, so that its changes are
   * known.
   */
  public void onListReachable(Topic topic, boolean reachable) {
    if (topic == Topic.OPERATOR) {
      operatorListReachable = reachable;
    }
  }

  /**
   * Returns for how long operators may have written a newer configuration without this instance
   * having learned of it, in milliseconds.
   */
  public long configurationAgeMillis() {
    return listAgeNanos(Topic.OPERATOR) / 1_000_000L;
  }

  /**
   * Returns whether the store has lately confirmed that the configuration in force is the newest,
   * so that requests that it does not permit may be refused for good.
   */
  public boolean isConfigurationConfirmed() {
    return !isConfigurationOutdated() && configurationAgeMillis() <= MAX_CONFIRMED_AGE_MILLIS;
  }

  /**
   * Returns whether operators may have written a newer configuration than the one in force here:
   * the store cannot be watched, what it holds is no configuration that can be read, or another
   * instance has applied a newer one.
   */
  public boolean isConfigurationOutdated() {
    return !operatorListReachable || newestConfigurationUnknown || hasMissedConfiguration();
  }

  /**
   * Returns whether another instance has applied a newer configuration than the one in force here.
   * Versions only rise, so this holds also when that instance is gone.
   */
  public boolean hasMissedConfiguration() {
    return newestKnownVersion > (config == null ? 0 : config.version());
  }

  /**
   * Returns whether another instance has applied a newer configuration for longer than a change
   * takes to be known here, so that this instance may have lost touch with the store.
   */
  public boolean isConfigurationLongMissed() {
    long missedNanos = clock.monotonicNanos() - missedConfigurationSinceNanos;
    return hasMissedConfiguration() && missedNanos > MAX_CONFIRMED_AGE_MILLIS * NANOS_PER_MILLI;
  }

  /**
   * Returns whether the store has told others of a newer configuration for so long that requests
   * must not be handled by the one in force here. Does not become true while the store responds to
   * nobody.
   */
  public boolean isConfigurationOverdue() {
    return listProgress.overdueMillis(Topic.OPERATOR) > maxOverdueMillis;
  }

  private void onNewestConfigurationUnknown(String reason) {
    newestConfigurationUnknown = true;
    Logger.warn(
        "event=configuration-unknown in-force={} reason=\"newest configuration is {}\"",
        config == null ? 0 : config.version(),
        reason);
  }

  private void applyConfiguration(SteeringConfig newConfig) {
    newestConfigurationUnknown = false;
    if (config != null && newConfig.version() <= config.version()) {
      return;
    }
    Logger.info(
        "event=configured version={} before={}",
        newConfig.version(),
        config == null ? 0 : config.version());
    config = newConfig;
    updateRateLimiter();
  }

  private long coldStartMillis(String service) {
    return Optional.ofNullable(config)
        .flatMap(known -> known.service(service))
        .map(ServicePolicy::coldStartMillis)
        .orElse(DEFAULT_COLD_START_MILLIS);
  }

  /** Processes a heartbeat of another instance; one from an earlier run of it is ignored. */
  public void onHeartbeat(Heartbeat heartbeat) {
    long nowNanos = clock.monotonicNanos();
    if (fleet.onHeartbeat(heartbeat, nowNanos)) {
      listProgress.onReported(heartbeat.listVersions(), nowNanos);
      onConfigurationReported(heartbeat.configVersion(), nowNanos);
      crashes.onPeerCrashes(heartbeat.crashes(), nowNanos);
    }
  }

  private void onConfigurationReported(long version, long nowNanos) {
    if (version <= newestKnownVersion) {
      return;
    }
    if (!hasMissedConfiguration()) {
      missedConfigurationSinceNanos = nowNanos;
    }
    newestKnownVersion = version;
  }

  /** Updates everything that depends on time. Called every {@link #TICK_MILLIS}. */
  public void tick() {
    final long latenessNanos = eventLoopLagNanos();
    long nowNanos = clock.monotonicNanos();
    List<Heartbeat> live = fleet.liveHeartbeats(nowNanos);
    fleet.tick(nowNanos);
    servers.tick(nowNanos);
    servers.updatePeersInFlight(sumInFlight(live));
    servers.updateReportedLimits(lowestLimits(live));
    coldOwners.onOtherInstances(takingCallers(live));
    limitOwners.onOtherInstances(fleet.possibleSenders(nowNanos));
    updateLeavesLast(nowNanos);
    if (config != null) {
      rateLimiter.tick(config, nowNanos, nowNanos - lastTickNanos);
      chooser.tick(services(), nowNanos);
    }
    if (keepsClosed && nowNanos - keepClosedUntilNanos >= 0) {
      keepsClosed = false;
      reopenUnlisted();
    }
    lastTickLatenessNanos = latenessNanos;
    lastTickNanos = nowNanos;
  }

  /**
   * Returns for how long the event loop has been behind its schedule, in nanoseconds: how late the
   * next tick is already. What the loop reads now may have been waiting for that time.
   */
  public long eventLoopLagNanos() {
    long sinceTickNanos = clock.monotonicNanos() - lastTickNanos;
    return Math.max(0, sinceTickNanos - TICK_MILLIS * 1_000_000L);
  }

  /**
   * Returns whether the event loop is behind its schedule, or was at the last tick, after which it
   * may not have read yet what arrived before.
   */
  public boolean isEventLoopLate() {
    return Math.max(eventLoopLagNanos(), lastTickLatenessNanos) > LATE_NANOS;
  }

  private Collection<String> services() {
    Set<String> names = new HashSet<>();
    servers.all().forEach(server -> names.add(server.entry().service()));
    return names;
  }

  private static Map<Integer, Integer> sumInFlight(List<Heartbeat> live) {
    Map<Integer, Integer> sums = new HashMap<>();
    for (Heartbeat heartbeat : live) {
      heartbeat
          .inFlight()
          .forEach((server, requests) -> sums.merge(server, requests, Integer::sum));
    }
    return sums;
  }

  private static Map<Integer, Double> lowestLimits(List<Heartbeat> live) {
    Map<Integer, Double> limits = new HashMap<>();
    for (Heartbeat heartbeat : live) {
      heartbeat
          .serverLimits()
          .forEach((server, perSecond) -> limits.merge(server, perSecond, Math::min));
    }
    return limits;
  }

  private static List<InstanceIdentity> takingCallers(List<Heartbeat> live) {
    return live.stream().filter(Heartbeat::takesCallers).map(Heartbeat::sender).toList();
  }

  /**
   * Returns a heartbeat with the current state of this instance. It must be sent at once: the
   * requests that it reports as admitted count as known to the other instances from then on.
   */
  public Heartbeat createHeartbeat() {
    return new Heartbeat(
        fleet.self(),
        isReady(),
        acceptsForMillis(),
        isPartitionedFromServers(),
        config == null ? 0 : config.version(),
        listProgress.own(),
        rateLimiter.demandByCustomerHash(),
        rateLimiter.reportAdmitted(clock.monotonicNanos()),
        servers.ownInFlight(),
        servers.ownLimits(clock.monotonicNanos()),
        crashes.recentOwnCrashes(clock.monotonicNanos()));
  }

  private long acceptsForMillis() {
    long nowNanos = clock.monotonicNanos();
    return stoppingSelf()
        .map(self -> (self.acceptUntilNanos() - nowNanos) / NANOS_PER_MILLI)
        .orElse(0L);
  }

  /** Marks the instance as shutting down, so that it is no longer ready. */
  public void beginShutdown(StopSchedule schedule) {
    stopSchedule = Optional.of(schedule);
    shuttingDown = true;
    updateLeavesLast(clock.monotonicNanos());
  }

  /** Returns what the instance may still start; empty if it is not shutting down. */
  public Optional<StopSchedule> stopSchedule() {
    return stopSchedule;
  }

  /**
   * Returns whether new requests are accepted, which ends some time after the shutdown began: later
   * if no other instance of the region can take over yet.
   */
  public boolean acceptsRequests() {
    return stopSchedule
        .map(schedule -> clock.monotonicNanos() - acceptUntilNanos(schedule) < 0)
        .orElse(true);
  }

  /**
   * Returns whether a new request is accepted that must be over after the given time, while {@link
   * #acceptsRequests()}.
   */
  public boolean acceptsRequestOf(long timeoutMillis) {
    long nowNanos = clock.monotonicNanos();
    return stopSchedule
        .map(schedule -> schedule.accepts(nowNanos + timeoutMillis * NANOS_PER_MILLI, nowNanos))
        .orElse(true);
  }

  private long acceptUntilNanos(StopSchedule schedule) {
    return leavesLast ? schedule.lastAcceptNanos() : schedule.acceptUntilNanos();
  }

  /** Returns this instance if it is stopping and accepts requests that it can serve. */
  public Optional<StoppingInstance> stoppingSelf() {
    if (!isLoaded() || !acceptsRequests()) {
      return Optional.empty();
    }
    return stopSchedule.map(
        schedule -> new StoppingInstance(fleet.self(), acceptUntilNanos(schedule)));
  }

  /** Returns whether it can serve requests; once it has refused some, it accepts none again. */
  private boolean canStayLast() {
    return isLoaded() && !isPartitionedFromServers() && acceptsRequests();
  }

  private boolean isLastInRegion(long nowNanos) {
    return stopSchedule
        .filter(schedule -> StopOrder.leavesLast(fleet, schedule.acceptUntilNanos(), nowNanos))
        .isPresent();
  }

  private void updateLeavesLast(long nowNanos) {
    boolean last = canStayLast() && isLastInRegion(nowNanos);
    if (last != leavesLast) {
      leavesLast = last;
      Logger.info("event=leaves-last last={} accepts-for-millis={}", last, acceptsForMillis());
    }
  }

  /** Returns whether the instance is shutting down. May be called on any thread. */
  public boolean isShuttingDown() {
    return shuttingDown;
  }

  /**
   * Returns whether clients may be sent to this instance: it has a configuration and the list of
   * servers, and is not shutting down.
   */
  public boolean isReady() {
    return !shuttingDown && isLoaded();
  }

  private boolean isLoaded() {
    return config != null && servers.isLoaded();
  }

  /**
   * Returns whether this instance is partitioned from all servers, so that requests can only be
   * served through another instance.
   */
  @Override
  public boolean isPartitionedFromServers() {
    return reachability.isPartitioned();
  }

  /**
   * Returns an instance through which requests can be forwarded while this one is partitioned from
   * all servers; empty if there is none.
   *
   * @param homeRegions the only regions that may serve or forward the request
   * @param hash hash of the request, by which one of several instances is chosen
   */
  @Override
  public Optional<InstanceIdentity> relayInstance(HomeRegions homeRegions, long hash) {
    return RelayChoice.choose(
        fleet.liveHeartbeats(clock.monotonicNanos()), fleet.self().region(), homeRegions, hash);
  }

  /** Returns the configuration in force; empty until the first one is read. */
  public Optional<SteeringConfig> config() {
    return Optional.ofNullable(config);
  }

  /** Returns the table of the other instances. */
  public FleetTable fleet() {
    return fleet;
  }

  /** Returns the table of the servers of all services. */
  public ServerTable servers() {
    return servers;
  }

  /** Returns what is known of whether servers can be reached. */
  public ServerReachability reachability() {
    return reachability;
  }

  /** Returns the component that applies what servers ask for in their responses. */
  public ServerDirectives serverDirectives() {
    return serverDirectives;
  }

  /** Returns this instance's shares of the limits that servers name. */
  public LimitShares limitShares() {
    return limitShares;
  }

  /** Returns the component that chooses a server for each request. */
  public ServerChooser chooser() {
    return chooser;
  }

  /** Returns the rate limiter, which holds this instance's shares of the customers' rates. */
  public CustomerRateLimiter rateLimiter() {
    return rateLimiter;
  }

  /** Returns the history of requests during which their server crashed. */
  public CrashHistory crashes() {
    return crashes;
  }

  /** Returns this instance's retry budgets, one for each service. */
  public ServiceRetryBudgets retries() {
    return retries;
  }

  /** Returns the weighted round robin that chooses among the services of a route. */
  public SmoothWeightedRoundRobin roundRobin() {
    return roundRobin;
  }

  /** Returns the clock of the instance. */
  public Clock clock() {
    return clock;
  }
}
