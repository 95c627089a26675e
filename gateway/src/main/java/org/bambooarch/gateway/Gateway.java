package org.bambooarch.gateway;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServerPort;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.bambooarch.core.steering.fleet.FleetTable;
import org.bambooarch.core.time.Clock;
import org.bambooarch.gateway.control.ArrivalEstimate;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.control.CredibleDataAge;
import org.bambooarch.gateway.control.DataAge;
import org.bambooarch.gateway.control.PeerSocket;
import org.bambooarch.gateway.control.RelaySelector;
import org.bambooarch.gateway.control.StopSchedule;
import org.bambooarch.gateway.control.StoreSynchronizer;
import org.bambooarch.gateway.endpoint.DirectoryFormat;
import org.bambooarch.gateway.endpoint.DirectoryService;
import org.bambooarch.gateway.endpoint.LoggingErrorHandler;
import org.bambooarch.gateway.endpoint.LookupLogger;
import org.bambooarch.gateway.endpoint.PortRouter;
import org.bambooarch.gateway.endpoint.RawRequestUri;
import org.bambooarch.gateway.endpoint.ReadinessService;
import org.bambooarch.gateway.observability.AsyncLineWriter;
import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.RequestEventLog;
import org.bambooarch.gateway.relay.RelayService;
import org.bambooarch.gateway.relay.StoreCallService;
import org.bambooarch.gateway.request.GatewayContext;
import org.bambooarch.gateway.request.ProxyService;
import org.bambooarch.gateway.request.ResponseBuffers;
import org.bambooarch.gateway.request.SkippedResponseLogger;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.RequestFormat;
import org.bambooarch.gateway.spi.Topic;
import org.bambooarch.gateway.target.NettyTransport;
import org.bambooarch.gateway.target.PartitionMonitor;
import org.bambooarch.gateway.target.TargetHttpClient;
import org.tinylog.Logger;

/**
 * One running entry instance on the users' platform: an HTTP proxy that forwards requests of
 * clients to the servers of a service.
 *
 * <p>All requests, connections and control state of the instance are handled on one event loop.
 * Unless a method says otherwise, it may be called on any thread.
 *
 * <pre>{@code
 * Gateway gateway = new Gateway(
 *     settings, requestFormat, directoryFormat, store, eventLoops, clock, random);
 * gateway.start();
 * }</pre>
 */
public final class Gateway implements AutoCloseable {

  private static final long STOP_POLL_MILLIS = 50;

  /** Longest time for which {@link #start()} tries to listen, in nanoseconds. */
  private static final long LISTEN_RETRY_NANOS = 3_000_000_000L;

  private static final long LISTEN_RETRY_INTERVAL_NANOS = 100_000_000L;

  /** Shortest time between heartbeats that tell of confirmed lists, in nanoseconds: 50 ms. */
  private static final long MIN_HEARTBEAT_GAP_NANOS = 50_000_000L;

  /** Largest size of a request line, and of all headers together. */
  private static final int MAX_HEADER_BYTES = 64 * 1024;

  /** Longer than clients keep idle connections, so that clients close them first. */
  private static final long CLIENT_IDLE_TIMEOUT_MILLIS = 60_000;

  private final GatewaySettings settings;
  private final Clock clock;
  private final EventLoop loop;
  private final ControlState state;
  private final StoreSynchronizer storeSynchronizer;
  private final PartitionMonitor partitionMonitor;
  private final TargetHttpClient targetClient;
  private final ProxyService proxyService;
  private final RelayService relayService;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final RequestEventLog requestLog;
  private final PortRouter router;
  private final Server server;
  private final Server metricsServer;
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private volatile Optional<PeerSocket> peerSocket = Optional.empty();
  private long lastHeartbeatNanos;
  private boolean refusedUnsent;

  /**
   * Creates an instance that neither listens nor connects until {@link #start()} is called.
   *
   * @param settings the settings of the instance
   * @param requestFormat header format of requests and responses
   * @param directoryFormat format of directory lookups and readiness probes
   * @param store the platform's store
   * @param eventLoops a group of one event loop, which the instance does not shut down
   * @param clock source of monotonic and wall-clock time
   * @param random source of random numbers
   */
  public Gateway(
      GatewaySettings settings,
      RequestFormat requestFormat,
      DirectoryFormat directoryFormat,
      ControlStore store,
      EventLoopGroup eventLoops,
      Clock clock,
      RandomGenerator random) {
    this(
        settings,
        requestFormat,
        directoryFormat,
        store,
        eventLoops,
        clock,
        random,
        state -> state,
        new CredibleDataAge(NettyTransport::sinceLastDataNanos));
  }

  /**
   * Creates an instance as the other constructor does, with other ways to tell when requests must
   * go through another instance and since when they have been unread.
   *
   * @param relaySelectorOf returns the selector for the instance's state
   * @param dataAge tells since when the data of connections has been here
   */
  public Gateway(
      GatewaySettings settings,
      RequestFormat requestFormat,
      DirectoryFormat directoryFormat,
      ControlStore store,
      EventLoopGroup eventLoops,
      Clock clock,
      RandomGenerator random,
      Function<ControlState, RelaySelector> relaySelectorOf,
      DataAge dataAge) {
    this.settings = settings;
    this.clock = clock;
    this.loop = (EventLoop) eventLoops.next();
    this.state = new ControlState(settings, clock);
    this.storeSynchronizer =
        new StoreSynchronizer(
            store, state, loop, random, settings.listAgeBounds(), this::onListConfirmed);
    this.partitionMonitor =
        new PartitionMonitor(
            state.reachability(), state.servers(), clock, this::onPartitionVerdictChanged);
    this.requestLog =
        new RequestEventLog(AsyncLineWriter.standardOutput(), settings.identity().name(), clock);
    this.targetClient =
        new TargetHttpClient(
            requestFormat,
            loop,
            clock,
            partitionMonitor,
            new SkippedResponseLogger(requestLog, metrics));
    GatewayContext context =
        new GatewayContext(
            state,
            relaySelectorOf.apply(state),
            storeSynchronizer::checkConfiguration,
            targetClient,
            requestFormat,
            loop,
            metrics,
            requestLog,
            new ArrivalEstimate(state, dataAge),
            random,
            new ResponseBuffers());
    this.proxyService = new ProxyService(context);
    this.relayService = new RelayService(context);
    this.router = router(directoryFormat, new StoreCallService(store, relayService, loop));
    this.server = server(eventLoops);
    this.metricsServer = metricsServer(eventLoops);
    this.lastHeartbeatNanos = clock.monotonicNanos();
    registerGauges();
  }

  private PortRouter router(DirectoryFormat directoryFormat, HttpService peerService) {
    return new PortRouter(
        List.of(
            new PortRouter.Listener(settings.clientAddress(), proxyService),
            new PortRouter.Listener(
                settings.readinessAddress(), new ReadinessService(state, directoryFormat)),
            new PortRouter.Listener(
                settings.directoryAddress(),
                new DirectoryService(
                    state,
                    directoryFormat,
                    settings.lookupTtlMillis(),
                    new LookupLogger(state, requestLog, metrics))),
            new PortRouter.Listener(settings.peerAddress(), peerService)));
  }

  private Server server(EventLoopGroup eventLoops) {
    ServerBuilder builder = Server.builder();
    for (InetSocketAddress address : router.addresses()) {
      builder.http(address);
    }
    return builder
        .workerGroup(eventLoops, false)
        .disableServerHeader()
        .disableDateHeader()
        .http1MaxHeaderSize(MAX_HEADER_BYTES)
        .http1MaxInitialLineLength(MAX_HEADER_BYTES)
        .maxRequestLength(0)
        .requestTimeoutMillis(0)
        .idleTimeoutMillis(CLIENT_IDLE_TIMEOUT_MILLIS)
        .childChannelPipelineCustomizer(RawRequestUri::install)
        .errorHandler(new LoggingErrorHandler(requestLog, metrics))
        .service("prefix:/", router)
        .build();
  }

  private Server metricsServer(EventLoopGroup eventLoops) {
    return Server.builder()
        .http(settings.metricsAddress())
        .workerGroup(eventLoops, false)
        .disableServerHeader()
        .disableDateHeader()
        .idleTimeoutMillis(CLIENT_IDLE_TIMEOUT_MILLIS)
        .errorHandler(new LoggingErrorHandler(requestLog, metrics))
        .service("prefix:/", (context, request) -> metricsPage())
        .build();
  }

  private HttpResponse metricsPage() {
    try {
      return HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, metrics.toText());
    } catch (IOException e) {
      Logger.error(
          "event=metrics-failed reason=\"metrics could not be written, responding with 500: {}\"",
          e.getMessage());
      return HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR);
    }
  }

  private void registerGauges() {
    metrics.registerGauge(
        "bambooarch_requests_in_flight", "Requests without answer.", proxyService::inFlight);
    metrics.registerGauge(
        "bambooarch_config_version",
        "Version of the configuration in force.",
        () -> state.config().map(config -> (double) config.version()).orElse(0.0));
    metrics.registerGauge(
        "bambooarch_operators_list_age_seconds",
        "Time since the store has confirmed the operators' list.",
        () -> state.listAgeSeconds(Topic.OPERATOR));
    metrics.registerGauge(
        "bambooarch_servers_list_age_seconds",
        "Time since the store has confirmed the list of servers.",
        () -> state.listAgeSeconds(Topic.SERVERS));
    metrics.registerGauge(
        "bambooarch_live_instances",
        "Instances whose heartbeats arrive, this one included.",
        () -> state.fleet().liveHeartbeats(clock.monotonicNanos()).size() + 1);
    metrics.registerGauge(
        "bambooarch_blocked_requests",
        "Requests that are sent to no server, since servers crashed on them.",
        () -> state.crashes().blockedRequests(clock.monotonicNanos()));
    metrics.registerGauge(
        "bambooarch_partitioned_from_servers",
        "1 while no server can be reached, otherwise 0.",
        () -> state.isPartitionedFromServers() ? 1.0 : 0.0);
    metrics.registerGauge(
        "bambooarch_log_lines_dropped",
        "Log lines that found no room.",
        AsyncLineWriter.standardOutput()::droppedLineCount);
  }

  /**
   * Starts to listen, to watch the store and to exchange heartbeats with other instances. Returns
   * when all ports are bound; the instance is ready once it has a configuration and the list of
   * servers. An address that is in use is tried again for some seconds, since an earlier run of the
   * instance may still hold it. Without the metrics' address, the instance serves nevertheless.
   * After a failure, nothing listens.
   *
   * @throws IOException if an address cannot be listened on
   */
  public void start() throws IOException {
    listen();
    serveMetrics();
    loop.execute(storeSynchronizer::start);
    loop.scheduleWithFixedDelay(
        periodicUpdate(),
        ControlState.TICK_MILLIS,
        ControlState.TICK_MILLIS,
        TimeUnit.MILLISECONDS);
    Logger.info(
        "event=started instance={} incarnation={} data-centre={} callers={}",
        settings.identity().name(),
        settings.identity().incarnation(),
        settings.identity().dataCentre(),
        settings.identity().callersAddress());
  }

  private void listen() throws IOException {
    long deadlineNanos = clock.monotonicNanos() + LISTEN_RETRY_NANOS;
    while (true) {
      try {
        listenOnce();
        return;
      } catch (IOException e) {
        boolean expired = clock.monotonicNanos() - deadlineNanos >= 0;
        if (expired || Thread.currentThread().isInterrupted()) {
          throw e;
        }
        Logger.warn("event=listen-failed reason=\"trying again: {}\"", e.getMessage());
        LockSupport.parkNanos(LISTEN_RETRY_INTERVAL_NANOS);
      }
    }
  }

  private void listenOnce() throws IOException {
    PeerSocket socket = PeerSocket.bind(state, settings.peerAddress(), loop);
    try {
      server.start().join();
    } catch (CompletionException e) {
      socket.close();
      if (!(e.getCause() instanceof IOException)) {
        throw e;
      }
      String addresses = "one of TCP " + router.addresses();
      throw new IOException(addresses + ": " + e.getCause().getMessage(), e.getCause());
    }
    peerSocket = Optional.of(socket);
    router.setBoundPorts(
        server.activePorts().values().stream()
            .map(ServerPort::localAddress)
            .map(InetSocketAddress::getPort)
            .toList());
  }

  private void serveMetrics() {
    try {
      metricsServer.start().join();
    } catch (CompletionException e) {
      Logger.warn(
          "event=metrics-not-served reason=\"cannot listen on {}: {}\"",
          settings.metricsAddress(),
          e.getCause().getMessage());
    }
  }

  /**
   * Returns the address that accepts requests of clients, once {@link #start()} has returned: with
   * the port that was bound where the settings name port 0.
   */
  public InetSocketAddress clientAddress() {
    return server.activePorts().values().iterator().next().localAddress();
  }

  private PeriodicUpdate periodicUpdate() {
    return new PeriodicUpdate(
        List.of(
            new PeriodicUpdate.Part("state", state::tick),
            new PeriodicUpdate.Part("lists", storeSynchronizer::tick),
            new PeriodicUpdate.Part("log", requestLog::tick),
            new PeriodicUpdate.Part("servers", this::updateServers),
            new PeriodicUpdate.Part("heartbeats", this::sendDueHeartbeats)));
  }

  private void updateServers() {
    targetClient.retainOnly(state.servers());
    partitionMonitor.tick().forEach(targetClient::probe);
  }

  private void sendDueHeartbeats() {
    long nowNanos = clock.monotonicNanos();
    if (nowNanos - lastHeartbeatNanos >= FleetTable.HEARTBEAT_NANOS) {
      sendHeartbeats(nowNanos);
    }
  }

  private void onListConfirmed() {
    long nowNanos = clock.monotonicNanos();
    if (nowNanos - lastHeartbeatNanos >= MIN_HEARTBEAT_GAP_NANOS) {
      sendHeartbeats(nowNanos);
    }
  }

  private void sendHeartbeats(long nowNanos) {
    lastHeartbeatNanos = nowNanos;
    peerSocket.ifPresent(PeerSocket::sendHeartbeats);
  }

  private void onPartitionVerdictChanged() {
    if (state.isPartitionedFromServers()) {
      // They may be as dead as the connections that failed.
      targetClient.closeIdle();
    }
    sendHeartbeats(clock.monotonicNanos());
  }

  /**
   * Stops without aborting requests that are in flight, unless the stop grace period ends first.
   *
   * <p>The instance reports at once that it is not ready, and directory lookups no longer name it
   * while another instance of its region is ready. It accepts requests until cached directory
   * responses have expired, refuses new ones from then on, and may end when the last response is
   * written. A request that servers are unlikely to finish in time is refused before it is sent to
   * one. Requests still in flight shortly before the end of the grace period are aborted.
   *
   * @return a future that completes when the process may end; the same for every call
   */
  public CompletableFuture<Void> stopGracefully() {
    loop.execute(this::beginStop);
    return stopped;
  }

  /** Returns whether a graceful stop has begun. */
  public boolean isShuttingDown() {
    return state.isShuttingDown();
  }

  private void beginStop() {
    if (state.isShuttingDown()) {
      return;
    }
    Logger.info("event=stopping in-flight={}", inFlight());
    StopSchedule schedule = StopSchedule.from(clock.monotonicNanos(), settings.graceMillis());
    state.beginShutdown(schedule);
    peerSocket.ifPresent(PeerSocket::sendHeartbeats);
    storeSynchronizer.deregister();
    loop.scheduleWithFixedDelay(
        () -> pollStop(schedule), STOP_POLL_MILLIS, STOP_POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void pollStop(StopSchedule schedule) {
    boolean idle = !state.acceptsRequests() && inFlight() == 0;
    if (idle || refusedUnsent) {
      Logger.info("event=stopped cut={}", inFlight());
      stopped.complete(null);
    } else if (schedule.hasEnded(clock.monotonicNanos())) {
      // The responses are written until the next call.
      refusedUnsent = true;
      proxyService.refuseUnsent();
    }
  }

  private int inFlight() {
    return proxyService.inFlight() + relayService.inFlight();
  }

  /**
   * Logs a request to reload the settings and does nothing else: settings do not change while a
   * process runs.
   */
  public void reload() {
    Logger.info("event=reload instance={}", settings.identity().name());
  }

  /**
   * Stops at once and aborts requests in flight. Does not wait until the ports are free again. Must
   * not be called on the event loop.
   */
  @Override
  public void close() {
    closeAsync();
  }

  /**
   * Stops at once, like {@link #close()}.
   *
   * @return a future that completes when the HTTP server has stopped, also if stopping it failed
   */
  public CompletableFuture<Void> closeAsync() {
    final CompletableFuture<Void> serversStopped =
        CompletableFuture.allOf(stop(server), stop(metricsServer));
    loop.submit(storeSynchronizer::stop).syncUninterruptibly();
    loop.submit(targetClient::close).syncUninterruptibly();
    peerSocket.ifPresent(PeerSocket::close);
    return serversStopped;
  }

  private static CompletableFuture<Void> stop(Server server) {
    return server
        .stop()
        .exceptionally(
            failure -> {
              Logger.warn(
                  "event=server-stop-failed reason=\"HTTP server did not stop cleanly: {}\"",
                  failure.toString());
              return null;
            });
  }
}
