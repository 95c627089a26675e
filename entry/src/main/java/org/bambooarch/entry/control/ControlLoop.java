package org.bambooarch.entry.control;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bambooarch.core.budget.BudgetDump;
import org.bambooarch.core.budget.BudgetMessage;
import org.bambooarch.core.budget.FleetBudgets;
import org.bambooarch.core.config.ConfigMessage;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.LoggedChange;
import org.bambooarch.core.config.ReplicationStatus;
import org.bambooarch.core.key.KeyCheck;
import org.bambooarch.core.peer.PeerMessage;
import org.bambooarch.core.request.crash.CrashMessage;
import org.bambooarch.core.time.Clock;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.entry.lookup.LookupService;
import org.bambooarch.entry.request.RouteTable;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.peer.PeerStatus;
import org.bambooarch.store.InstanceRecord;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.http.HttpPlatformClient;
import org.tinylog.Logger;

/**
 * Owns the control state on a single thread and publishes immutable views of it.
 *
 * <p>Nothing on this control thread waits for the platform or for a peer: calls that block run on
 * virtual threads and pass their results back to the control thread.
 */
public final class ControlLoop implements AutoCloseable {

  private static final long TICK_INTERVAL_MILLIS = 50;
  private static final long TICKS_PER_BUDGET_DUMP = 20;
  private static final long ANNOUNCEMENT_RETRY_DELAY_MILLIS = 3_000;

  private final EntrySettings settings;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(Thread.ofPlatform().name("control").factory());
  private final KeyCheck keyCheck;
  private final PeerConnections peers;
  private final ConfigSynchronizer config;
  private final InstanceListPoller instanceList;
  private final BudgetManager budgets;
  private final RoutingTables routing;
  private volatile Consumer<CrashMessage> crashMessageHandler = message -> {};
  private volatile FleetView view = FleetView.empty();
  private volatile ReplicationStatus replicationStatus;
  private volatile boolean budgetsReady;
  private volatile Optional<BudgetDump> budgetDump = Optional.empty();
  private final AtomicLong failedTasks = new AtomicLong();
  private long ticks;

  private ControlLoop(
      EntrySettings settings, HttpPlatformClient platform, KeyCheck keyCheck, Clock clock) {
    this.settings = settings;
    this.keyCheck = keyCheck;
    Executor control = this::submit;
    RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    this.peers = new PeerConnections(settings, control, random, this::receive);
    this.config = new ConfigSynchronizer(settings, platform, peers, clock, random, control);
    this.instanceList =
        new InstanceListPoller(
            platform, clock, ThreadLocalRandom::current, control, settings.control().seedPeers());
    this.budgets =
        new BudgetManager(settings.name(), platform, peers::send, clock, random, control);
    this.routing = new RoutingTables(settings.dataCentre(), LookupService.settings(), clock);
    this.replicationStatus = config.replicator().status();
  }

  /** Returns a loop that is not started yet. */
  public static ControlLoop create(
      EntrySettings settings, HttpPlatformClient platform, KeyCheck keyCheck, Clock clock) {
    return new ControlLoop(settings, platform, keyCheck, clock);
  }

  /**
   * Starts to listen for peers, reads the configuration and the list of instances once, and starts
   * the loop.
   *
   * @throws PlatformException if the platform does not answer and the settings name no seed peers
   */
  public void start() throws PlatformException {
    try {
      peers.start();
      config.readAndWait();
      instanceList.readAndWait();
    } catch (InvalidInventoryException e) {
      Logger.error("event=configuration-unreadable reason=\"{}\"", e.getMessage());
    } catch (PlatformException e) {
      if (settings.control().seedPeers().isEmpty()) {
        throw e;
      }
      Logger.warn("event=starting-from-peers reason=\"{}\"", e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    applyInstances();
    publish();
    executor.scheduleWithFixedDelay(
        this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** A call to the platform that blocks and may fail. */
  @FunctionalInterface
  public interface PlatformCall {

    /** Calls the platform; throws if the call failed or its outcome is unknown. */
    void call() throws PlatformException;
  }

  /**
   * Calls the platform after {@link #ANNOUNCEMENT_RETRY_DELAY_MILLIS}, and again after each
   * failure, until a call succeeds or the loop is closed.
   */
  public void retryAnnouncement(PlatformCall call) {
    executor.schedule(
        () -> Thread.startVirtualThread(() -> tryAnnouncement(call)),
        ANNOUNCEMENT_RETRY_DELAY_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void tryAnnouncement(PlatformCall call) {
    try {
      call.call();
      Logger.info("event=announced-late instance={}", settings.name());
    } catch (PlatformException e) {
      if (!executor.isShutdown()) {
        retryAnnouncement(call);
      }
    }
  }

  /** Returns the view of the fleet that was published last. */
  public FleetView view() {
    return view;
  }

  /** Returns the tables that choose servers and answer look-ups. */
  public RoutingTables routing() {
    return routing;
  }

  /** Returns the customers' budgets, which hold over all instances together. */
  public FleetBudgets budgets() {
    return budgets.budgets();
  }

  /**
   * Returns whether the budgets were confirmed at the last tick, so that callers may be sent here.
   */
  public boolean areBudgetsReady() {
    return budgetsReady;
  }

  /** Returns the state of the budgets, about a second old at most; empty before the first dump. */
  public Optional<BudgetDump> budgetDump() {
    return budgetDump;
  }

  /** Returns how many tasks of the control thread have ended with an exception since the start. */
  public long failedTasks() {
    return failedTasks.get();
  }

  /** Hands all shares of budgets over to other instances, for a planned stop. */
  public void leave() {
    submit(budgets::leave);
  }

  /** Returns the port on which other instances connect. */
  public int peersPort() {
    return peers.port();
  }

  /** Returns which configuration version is in force and how fresh that knowledge is. */
  public ReplicationStatus replicationStatus() {
    return replicationStatus;
  }

  /** Returns the state and counters of the connections to other instances. */
  public List<PeerStatus> peerStatuses() {
    return peers.peerStatuses();
  }

  /** Sets the handler of other instances' messages about requests that crash servers. */
  public void setCrashMessageHandler(Consumer<CrashMessage> handler) {
    crashMessageHandler = handler;
  }

  /** Sends a message to all other listed instances without waiting. */
  public void broadcast(PeerMessage message) {
    for (InstanceRecord instance : view.instances()) {
      if (!instance.name().equals(settings.name())) {
        peers.send(instance.name(), message);
      }
    }
  }

  /**
   * Applies a change that an operator's tool has committed to the store and sends it to peers,
   * which thereby learn of it without reading the store.
   */
  public void announceChange(LoggedChange change) {
    submit(() -> config.replicator().announce(change));
  }

  /**
   * Records an operator's statement that the store accepts no change before a deadline.
   *
   * @param untilNanos deadline in monotonic nanoseconds
   */
  public void attestStoreDown(long untilNanos) {
    submit(() -> config.replicator().attestStoreDown(untilNanos));
  }

  @Override
  public void close() {
    executor.shutdownNow();
    peers.close();
  }

  private void submit(Runnable task) {
    try {
      executor.execute(() -> runCountingFailures(task));
    } catch (RejectedExecutionException e) {
      // The loop is closed: control tasks no longer have any effect.
    }
  }

  private void tick() {
    runCountingFailures(
        () -> {
          if (instanceList.tick()) {
            applyInstances();
          }
          config.tick();
          publish();
          budgets.tick();
          budgetsReady = budgets.budgets().isReady();
          publishBudgetDump();
          routing.tick();
        });
  }

  /**
   * Publishes the dump about once a second, not on every tick, because it is built from all shares.
   */
  private void publishBudgetDump() {
    ticks++;
    if (ticks % TICKS_PER_BUDGET_DUMP == 0) {
      budgetDump = Optional.of(budgets.budgets().dump());
    }
  }

  /** Runs a task; an exception is counted and logged, so that the control loop goes on. */
  private void runCountingFailures(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      failedTasks.incrementAndGet();
      Logger.error(e, "event=control-fault reason=\"{}\"", e.getMessage());
    }
  }

  private void receive(String fromInstance, PeerMessage message) {
    switch (message) {
      case BudgetMessage budgetMessage -> budgets.receive(budgetMessage);
      case ConfigMessage configMessage -> {
        config.receive(fromInstance, configMessage);
        publish();
      }
      case CrashMessage crashMessage -> crashMessageHandler.accept(crashMessage);
      default ->
          Logger.warn(
              "event=peer-message-ignored peer={} type={}",
              fromInstance,
              message.getClass().getSimpleName());
    }
  }

  private void applyInstances() {
    List<InstanceRecord> instances = instanceList.instances();
    peers.updateInstances(instances);
    config.updateInstances(instances);
  }

  private void publish() {
    final FleetView before = view;
    ConfigState state = config.replicator().state();
    replicationStatus = config.replicator().status();
    // A request reads the view, checks its key and asks for its customer's budget, in this order,
    // so each of them must not be older than the one before.
    budgets.update(state.version(), state.inventory());
    keyCheck.publish(state);
    OptionalLong keysFreshUntilNanos = config.replicator().keysFreshUntilNanos();
    keysFreshUntilNanos.ifPresent(keyCheck::keepFreshUntil);
    boolean configChanged = state.version() != before.config().version();
    RouteTable routes = configChanged ? RouteTable.of(state.inventory()) : before.routes();
    view =
        new FleetView(
            state,
            routes,
            instanceList.instances(),
            keysFreshUntilNanos,
            config.replicator().keysConfirmedNanos(),
            replicationStatus.knownHeadVersion());
    routing.update(state.inventory(), instanceList.instances());
    if (configChanged) {
      Logger.info("event=configuration-in-force version={}", state.version());
    }
  }
}
