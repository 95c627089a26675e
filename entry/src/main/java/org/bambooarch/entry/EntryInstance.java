package org.bambooarch.entry;

import com.linecorp.armeria.server.Server;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.LockSupport;
import org.bambooarch.core.key.KeyCheck;
import org.bambooarch.core.time.Clock;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.entry.control.ControlLoop;
import org.bambooarch.entry.control.FleetView;
import org.bambooarch.entry.lookup.LookupService;
import org.bambooarch.entry.operators.EntryMetrics;
import org.bambooarch.entry.operators.MeteredService;
import org.bambooarch.entry.operators.OperatorsServer;
import org.bambooarch.entry.operators.OperatorsServerFactory;
import org.bambooarch.entry.operators.Readiness;
import org.bambooarch.entry.request.CustomerAdmission;
import org.bambooarch.entry.request.ForwardService;
import org.bambooarch.entry.request.RequestServices;
import org.bambooarch.entry.request.target.TargetChooserSelection;
import org.bambooarch.entry.shutdown.GracefulShutdown;
import org.bambooarch.entry.shutdown.InFlightRequests;
import org.bambooarch.store.InstanceRecord;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.http.HttpPlatform;
import org.tinylog.Logger;

/**
 * One running entry instance: it answers look-ups and carries requests to targets.
 *
 * <pre>{@code
 * try (EntryInstance entry = EntryInstance.start(settings)) {
 *   System.out.println(entry.callersPort());
 * }
 * }</pre>
 */
public final class EntryInstance implements AutoCloseable {

  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final long CALLER_IDLE_TIMEOUT_MILLIS = 60_000;
  private static final long CALLER_PING_INTERVAL_MILLIS = 10_000;
  private static final long MAX_INSTANCE_LIST_LAG_MILLIS = 5_000;
  private static final long MAX_BUDGETS_WAIT_NANOS = 3_000_000_000L;
  private static final long BUDGETS_POLL_INTERVAL_NANOS = 10_000_000L;
  private static final int MAX_HTTP1_LINE_BYTES = 8 * 1024;

  private final EntrySettings settings;
  private final Clock clock;
  private final HttpPlatform platform;
  private final KeyCheck keyCheck;
  private final ControlLoop control;
  private final RequestServices requestServices;
  private final EntryMetrics metrics = new EntryMetrics();
  private final InFlightRequests inFlight = new InFlightRequests();
  private final GracefulShutdown shutdown;
  private final Server server;
  private final OperatorsServer operators;
  private volatile boolean stopping;

  private EntryInstance(EntrySettings settings, Clock clock) {
    this.settings = settings;
    this.clock = clock;
    this.keyCheck = KeyCheck.acceptingNothing(clock);
    this.shutdown = GracefulShutdown.of(new ShutdownSteps(), clock);
    this.platform =
        HttpPlatform.at(
            settings.platformUri(), Duration.ofMillis(settings.platformTimeoutMillis()));
    this.control = ControlLoop.create(settings, platform, keyCheck, clock);
    this.requestServices =
        new RequestServices(
            settings.name(),
            platform,
            keyCheck,
            new TargetChooserSelection(control.routing()::chooser, ThreadLocalRandom::current),
            new CustomerAdmission(control.budgets(), clock),
            control::broadcast,
            clock);
    control.setCrashMessageHandler(requestServices.crashEvidence()::onPeerMessage);
    this.server =
        Server.builder()
            .http(new InetSocketAddress(settings.host(), settings.callersPort()))
            .http1MaxHeaderSize(MAX_HEADER_BYTES)
            .http2MaxHeaderListSize(MAX_HEADER_BYTES)
            .http1MaxInitialLineLength(MAX_HTTP1_LINE_BYTES)
            .maxRequestLength(0)
            .requestTimeoutMillis(0)
            .idleTimeoutMillis(CALLER_IDLE_TIMEOUT_MILLIS)
            .pingIntervalMillis(CALLER_PING_INTERVAL_MILLIS)
            .service(LookupService.PATH, new LookupService(control.routing()::lookups))
            .service(
                "prefix:/",
                MeteredService.around(new ForwardService(control::view, requestServices), metrics))
            .decorator(inFlight.countingDecorator())
            .build();
    this.operators =
        OperatorsServerFactory.create(settings, control, this::readiness, inFlight::count, metrics);
  }

  /**
   * Starts an instance, reads the configuration once and announces the instance.
   *
   * @throws PlatformException if the platform does not answer at start
   */
  public static EntryInstance start(EntrySettings settings) throws PlatformException {
    EntryInstance instance = new EntryInstance(settings, SystemClock.systemClock());
    try {
      instance.control.start();
      instance.server.start().join();
      instance.operators.start();
      instance.awaitConfirmedBudgets();
      instance.announce();
    } catch (PlatformException e) {
      instance.close();
      throw e;
    }
    Logger.info(
        "event=started instance={} dataCentre={} callersPort={} operatorsPort={}",
        settings.name(),
        settings.dataCentre(),
        instance.callersPort(),
        instance.operatorsPort());
    return instance;
  }

  /** Waits a bounded time for confirmed budgets, so that the first callers are not refused. */
  private void awaitConfirmedBudgets() {
    long deadlineNanos = clock.monotonicNanos() + MAX_BUDGETS_WAIT_NANOS;
    while (!control.areBudgetsReady() && clock.monotonicNanos() - deadlineNanos < 0) {
      LockSupport.parkNanos(BUDGETS_POLL_INTERVAL_NANOS);
    }
    if (!control.areBudgetsReady()) {
      Logger.warn("event=started-without-budgets instance={}", settings.name());
    }
  }

  private void announce() throws PlatformException {
    try {
      platform.announce(instanceRecord(false));
    } catch (PlatformException e) {
      if (settings.control().seedPeers().isEmpty()) {
        throw e;
      }
      Logger.warn("event=start-not-announced reason=\"{}\"", e.getMessage());
      control.retryAnnouncement(() -> platform.announce(instanceRecord(false)));
    }
  }

  /** Returns the port for callers. */
  public int callersPort() {
    return server.activeLocalPort();
  }

  /** Returns the port for operators. */
  public int operatorsPort() {
    return operators.port();
  }

  /** Returns what the instance knows of the fleet at this moment. */
  public FleetView view() {
    return control.view();
  }

  /**
   * Stops without cutting a request: announces leaving, outlasts look-up answers, finishes.
   *
   * @param bound after this time whatever still runs is ended
   */
  public void stopGracefully(Duration bound) {
    shutdown.run(clock.monotonicNanos() + bound.toNanos());
  }

  /** Ends the waiting of {@link #stopGracefully(Duration)}, as a second signal does. */
  public void stopNow() {
    shutdown.stopNow();
  }

  /** Stops at once; requests that run are cut. */
  @Override
  public void close() {
    stopping = true;
    inFlight.cancelAll();
    control.close();
    server.stop().join();
    operators.close();
    requestServices.close();
    Logger.info("event=stopped instance={}", settings.name());
  }

  private Readiness readiness() {
    if (stopping) {
      return new Readiness.NotReady("the instance is stopping");
    }
    if (control.view().config().version() == 0) {
      return new Readiness.NotReady("no configuration is in force yet; apply an inventory");
    }
    return new Readiness.Ready();
  }

  private final class ShutdownSteps implements GracefulShutdown.Steps {

    @Override
    public void announceLeaving() {
      control.leave();
      stopping = true;
      Thread.startVirtualThread(EntryInstance.this::announceLeavingToPlatform);
    }

    @Override
    public long lookupsValidMillis() {
      return LookupService.TIME_TO_LIVE_MILLIS + MAX_INSTANCE_LIST_LAG_MILLIS;
    }

    @Override
    public void finishRequests(long deadlineNanos) {
      boolean finished = inFlight.refuseNewAndAwaitRunning(deadlineNanos, clock);
      Logger.info("event=requests-finished all={} cut={}", finished, inFlight.count());
    }

    @Override
    public void stop() {
      close();
    }
  }

  private void announceLeavingToPlatform() {
    try {
      platform.announce(instanceRecord(true));
    } catch (PlatformException e) {
      Logger.warn("event=leaving-not-announced reason=\"{}\"", e.getMessage());
    }
  }

  private InstanceRecord instanceRecord(boolean leaving) {
    return new InstanceRecord(
        settings.name(),
        settings.dataCentre(),
        settings.host(),
        callersPort(),
        control.peersPort(),
        operatorsPort(),
        leaving);
  }

  /** Returns the instances that the platform listed last. */
  public List<InstanceRecord> listedInstances() {
    return control.view().instances();
  }
}
