package org.bambooarch.gateway.bodypath;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.common.logging.RequestLog;
import com.linecorp.armeria.common.logging.RequestLogAccess;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.steering.config.CallerLimits;
import org.bambooarch.core.steering.config.CustomerPolicy;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServicePolicy;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.config.WeightedService;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.bambooarch.core.steering.fleet.QuotaTolerance;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.GatewaySettings;
import org.bambooarch.gateway.ListAgeBounds;
import org.bambooarch.gateway.control.ArrivalEstimate;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.control.RelaySelector;
import org.bambooarch.gateway.control.StopSchedule;
import org.bambooarch.gateway.observability.AsyncLineWriter;
import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.RequestEventLog;
import org.bambooarch.gateway.relay.RelayService;
import org.bambooarch.gateway.request.GatewayContext;
import org.bambooarch.gateway.request.ProxyService;
import org.bambooarch.gateway.request.ResponseBuffers;
import org.bambooarch.gateway.spi.ControlChange;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.RelayHeaders;
import org.bambooarch.gateway.spi.Topic;
import org.bambooarch.gateway.target.ConnectionObserver;
import org.bambooarch.gateway.target.TargetHttpClient;

/**
 * The services of an instance between simulated clients and servers, on one thread, with a clock of
 * its own and without sockets. Its event loop runs only when the world is told so.
 */
final class BodyPathWorld implements AutoCloseable {

  /** Largest body of a request that the configuration permits, in bytes. */
  static final long MAX_BODY_BYTES = 300_000;

  /** Number of servers on which a request to a route of safe requests may run. */
  static final int MAX_SERVERS = 2;

  private static final int SERVERS = 3;
  private static final String SERVICE = "shop";
  private static final long GRACE_MILLIS = 6_000;
  private static final long TICK_MILLIS = ControlState.TICK_MILLIS;
  private static final String RELAY_ADDRESS = "10.0.1.1";
  private static final AsyncLineWriter NO_LINES =
      new AsyncLineWriter(new PrintStream(OutputStream.nullOutputStream()));

  private final ManualClock clock = ManualClock.startingAtZero();
  private final MockTicker ticker = Ticker.newMockTicker();
  private final ManualIoEventLoop loop =
      new ManualIoEventLoop(null, Thread.currentThread(), LocalIoHandler.newFactory(), ticker);
  private final ControlState state;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final List<SimulatedLink> links = new ArrayList<>();
  private final Set<ServerState> knownServers = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, Long> arrivedBytes = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final ResponseBuffers buffers = new ResponseBuffers();
  private final Random random;
  private final TargetHttpClient targetClient;
  private final ProxyService proxyService;
  private final RelayService relayService;
  private Optional<StopSchedule> stopSchedule = Optional.empty();
  private boolean refusedUnsent;
  private boolean partitioned;
  private boolean connectsLater;
  private final Map<String, String> addedHeaders = new HashMap<>();
  private long proxiedRequests;

  /** Creates a world of one region, whose servers may serve all requests. */
  BodyPathWorld(Random random) {
    this(random, Map.of("north-a", "north"));
  }

  /** Creates a world of several regions; all servers are in the data centre north-a at first. */
  BodyPathWorld(Random random, Map<String, String> regionByDataCentre) {
    this.random = random;
    this.state = new ControlState(settings(regionByDataCentre), clock);
    PlainFormat format = new PlainFormat();
    this.targetClient =
        new TargetHttpClient(
            format,
            new Bootstrap().group(loop).channelFactory(this::newLink),
            reportingLoop(),
            clock,
            new NoObserver(),
            (server, response) -> {});
    GatewayContext context =
        new GatewayContext(
            state,
            new Relays(),
            () -> CompletableFuture.completedFuture(null),
            targetClient,
            format,
            reportingLoop(),
            metrics,
            new RequestEventLog(NO_LINES, "entry-1", clock),
            new ArrivalEstimate(state, channel -> OptionalLong.empty()),
            random,
            buffers);
    this.proxyService = new ProxyService(context);
    this.relayService = new RelayService(context);
    configure();
    settle();
  }

  /** Returns the event loop, which otherwise keeps what a scheduled task throws to itself. */
  private EventLoop reportingLoop() {
    return (EventLoop)
        Proxy.newProxyInstance(
            EventLoop.class.getClassLoader(),
            new Class<?>[] {EventLoop.class},
            (proxy, called, arguments) -> {
              if (arguments != null && arguments[0] instanceof Runnable task) {
                arguments[0] = (Runnable) () -> runReporting(task);
              }
              return called.invoke(loop, arguments);
            });
  }

  private void runReporting(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      violations.add("a task threw " + e + " at " + e.getStackTrace()[0]);
      throw e;
    }
  }

  private static GatewaySettings settings(Map<String, String> regionByDataCentre) {
    InetSocketAddress any = new InetSocketAddress(0);
    return new GatewaySettings(
        new InstanceIdentity("entry-1", 1, "north", "north-a", "a:1", "a:2"),
        any,
        any,
        any,
        any,
        any,
        regionByDataCentre,
        0.2,
        60,
        new QuotaTolerance(5, 0.1, 20),
        2_000,
        GRACE_MILLIS,
        new ListAgeBounds(2_000, 2_000, 3_000));
  }

  private static ServiceRoute route(String name, boolean idempotent, HomeRegions homes) {
    return new ServiceRoute(
        name,
        "h",
        "/" + name + "/",
        idempotent,
        2_000,
        1_000,
        idempotent ? MAX_SERVERS : 1,
        0,
        true,
        false,
        homes,
        List.of(new WeightedService(SERVICE, 1)));
  }

  private void configure() {
    configure(1, HomeRegions.ALL);
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      entries.add(entry(i));
    }
    state.servers().replaceAll(entries, 0, clock.monotonicNanos());
    state.tick();
    rememberServers();
  }

  /** Puts a version of the configuration in force in which all routes have these homes. */
  void configure(long version, HomeRegions homes) {
    configure(version, homes, List.of());
  }

  /** Puts a version in force in which all routes are open to all and have these homes. */
  void configure(long version, HomeRegions homes, List<CustomerPolicy> customers) {
    SteeringConfig config =
        new SteeringConfig(
            version,
            List.of(route("safe", true, homes), route("order", false, homes)),
            List.of(new ServicePolicy(SERVICE, "/", 0, 0, 1)),
            customers,
            new CallerLimits(16_384, MAX_BODY_BYTES, 3_000, 15_000));
    state.replaceList(
        Topic.OPERATOR,
        new ControlUpdate(0, 1, List.of(new ControlChange.ConfigurationChanged(config))));
    state.onListReachable(Topic.OPERATOR, true);
  }

  /** Lists a server, known before or not, with this address in this data centre. */
  void listServer(int index, String dataCentre, String host) {
    ServerEntry entry =
        new ServerEntry("server-" + index, SERVICE, host, 80, dataCentre, 8, false, 0, 0);
    state.servers().put(entry, 0, clock.monotonicNanos());
    rememberServers();
  }

  private static ServerEntry entry(int index) {
    return new ServerEntry(
        "server-" + index, SERVICE, "10.0.0." + (index + 1), 80, "north-a", 8, false, 0, 0);
  }

  private void rememberServers() {
    knownServers.addAll(state.servers().all());
  }

  private Channel newLink() {
    SimulatedLink link =
        new SimulatedLink(violations::add, id -> runs.merge(id, 1, Integer::sum), arrivedBytes);
    link.connectAtOnce(random.nextBoolean() && !connectsLater);
    links.add(link);
    return link.channel();
  }

  /** The client's end of its connection, of which the instance sees no more than its end. */
  private static final class NoPeer implements SimulatedChannel.Peer {

    @Override
    public void onConnect(SocketAddress remote) {}

    @Override
    public void onBytes(ByteBuf bytes) {
      bytes.release();
    }

    @Override
    public void onRead() {}
  }

  /** Sends all requests over one other instance while the world says so. */
  private final class Relays implements RelaySelector {

    @Override
    public boolean isPartitionedFromServers() {
      return partitioned;
    }

    @Override
    public Optional<InstanceIdentity> relayInstance(HomeRegions homeRegions, long hash) {
      InstanceIdentity relay =
          new InstanceIdentity(
              "entry-2", 1, "north", "north-a", RELAY_ADDRESS + ":2", RELAY_ADDRESS + ":1");
      return Optional.of(relay).filter(instance -> homeRegions.permits(instance.region()));
    }
  }

  private static final class NoObserver implements ConnectionObserver {

    @Override
    public void onConnected(ServerEntry server) {}

    @Override
    public void onConnectFailed(ServerEntry server) {}

    @Override
    public void onProbeFailed(ServerEntry server) {}

    @Override
    public void onConnectSlow() {}

    @Override
    public void onRead() {}
  }

  List<SimulatedLink> links() {
    return links;
  }

  List<String> violations() {
    return violations;
  }

  /** Returns on how many servers a request has arrived that have not said that it did not run. */
  int runs(String requestId) {
    return runs.getOrDefault(requestId, 0);
  }

  /** Returns how much of the body of a request has arrived at any server, in bytes. */
  long arrivedBytes(String requestId) {
    return arrivedBytes.getOrDefault(requestId, 0L);
  }

  /** Records that a server says that the request on it did not run. */
  void onNotRun(String requestId) {
    runs.merge(requestId, -1, Integer::sum);
  }

  boolean isRelay(SocketAddress address) {
    return address.equals(new InetSocketAddress(RELAY_ADDRESS, 1));
  }

  /** Runs all tasks that are due. */
  void settle() {
    while (loop.runNow() > 0) {
      // Tasks may have added others.
    }
  }

  /** Lets time pass, with the control tick of an instance. */
  void advance(long millis) {
    long left = millis;
    while (left > 0) {
      long step = Math.min(left, TICK_MILLIS);
      clock.advanceMillis(step);
      ticker.advance(step, TimeUnit.MILLISECONDS);
      state.tick();
      pollStop();
      settle();
      left -= step;
    }
  }

  /**
   * Starts a request.
   *
   * @param id name of this attempt
   * @param requestId id of the request, which several attempts may have
   * @param order whether it may run once only
   * @param relayed whether it comes from another instance, which has chosen the server
   * @param framed whether the head states the length of the body
   */
  SimulatedClient start(
      String id,
      String requestId,
      boolean order,
      boolean relayed,
      long bodyBytes,
      boolean framed,
      long timeout) {
    RequestHeadersBuilder headers =
        RequestHeaders.builder(
            bodyBytes > 0 ? HttpMethod.POST : HttpMethod.GET, (order ? "/order/" : "/safe/") + id);
    headers.authority("h").scheme("http");
    headers.set(PlainFormat.ID, requestId).set(PlainFormat.ATTEMPT, id);
    headers.set(PlainFormat.LENGTH, Long.toString(bodyBytes));
    headers.set(PlainFormat.TIMEOUT, Long.toString(timeout));
    if (framed && bodyBytes > 0) {
      headers.contentLength(bodyBytes);
    }
    addedHeaders.forEach(headers::set);
    if (relayed) {
      headers.set(RelayHeaders.SERVER, "server-" + random.nextInt(SERVERS));
    } else {
      proxiedRequests++;
    }
    SimulatedChannel connection = new SimulatedChannel(new NoPeer());
    connection.accept();
    loop.register(connection);
    SimulatedClient client =
        new SimulatedClient(loop, connection, headers.build(), violations::add);
    HttpService service = relayed ? relayService : proxyService;
    try {
      client.onServed(service.serve(contextOf(connection), client.request()));
    } catch (Exception e) {
      violations.add("serving " + id + " threw " + e);
    }
    return client;
  }

  /** Returns a context of the HTTP server that knows no more than the client's connection. */
  private static ServiceRequestContext contextOf(Channel connection) {
    RequestLog log = only(RequestLog.class, Map.of("channel", connection));
    RequestLogAccess access = only(RequestLogAccess.class, Map.of("ensureAvailable", log));
    return only(
        ServiceRequestContext.class, Map.of("log", access, "sessionProtocol", SessionProtocol.H1C));
  }

  private static <T> T only(Class<T> type, Map<String, Object> resultByMethod) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (proxy, called, arguments) -> {
              Object result = resultByMethod.get(called.getName());
              if (result == null) {
                throw new UnsupportedOperationException(called.toString());
              }
              return result;
            }));
  }

  /** Lets the instance hear of another one that has this version of the configuration. */
  void hearOfConfiguration(long version) {
    hear(true, version);
  }

  /** Lets the instance hear of another one of its region that is starting. */
  void hearOfStartingInstance() {
    hear(false, 0);
  }

  private void hear(boolean takesCallers, long version) {
    state.onHeartbeat(
        new Heartbeat(
            new InstanceIdentity("entry-3", 1, "north", "north-a", "b:1", "b:2"),
            takesCallers,
            0,
            false,
            version,
            ListVersions.NONE,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            List.of()));
  }

  /** Adds a header to all requests from now on. */
  void addHeader(String name, String value) {
    addedHeaders.put(name, value);
  }

  /** Lets new connections wait from now on, instead of some of them. */
  void connectLater() {
    connectsLater = true;
  }

  void partition(boolean newPartitioned) {
    partitioned = newPartitioned;
  }

  boolean isPartitioned() {
    return partitioned;
  }

  void removeServer(int index) {
    state.servers().remove("server-" + index, clock.monotonicNanos());
    targetClient.retainOnly(state.servers());
  }

  /** Lists the servers again that were removed, each as a new run. */
  void listServers() {
    for (int i = 0; i < SERVERS; i++) {
      ServerEntry entry = entry(i);
      if (state.servers().find(entry.id()).isPresent()) {
        continue;
      }
      state
          .servers()
          .put(
              new ServerEntry(
                  entry.id(),
                  entry.service(),
                  entry.host(),
                  entry.port(),
                  entry.dataCentre(),
                  entry.slots(),
                  false,
                  0,
                  clock.wallMillis()),
              0,
              clock.monotonicNanos());
    }
    rememberServers();
  }

  /** Begins a planned stop, as the instance does. */
  void beginStop() {
    if (!state.isShuttingDown()) {
      stopSchedule = Optional.of(StopSchedule.from(clock.monotonicNanos(), GRACE_MILLIS));
      state.beginShutdown(stopSchedule.get());
    }
  }

  private void pollStop() {
    if (!refusedUnsent && stopSchedule.map(s -> s.hasEnded(clock.monotonicNanos())).orElse(false)) {
      refusedUnsent = true;
      proxyService.refuseUnsent();
    }
  }

  void closeIdle() {
    targetClient.closeIdle();
  }

  int inFlight() {
    return proxyService.inFlight() + relayService.inFlight();
  }

  /** Returns how many bytes of responses count as held. */
  long heldBytes() {
    return buffers.heldBytes();
  }

  /** Returns the smallest number of own requests that any server has. */
  int smallestServerCount() {
    return knownServers.stream().mapToInt(ServerState::ownInFlight).min().orElse(0);
  }

  /** Returns the largest number of own requests that any server has. */
  int largestServerCount() {
    return knownServers.stream().mapToInt(ServerState::ownInFlight).max().orElse(0);
  }

  long proxiedRequests() {
    return proxiedRequests;
  }

  /** Returns how many requests the metrics count as finished. */
  long finishedRequests() {
    try {
      return metrics
          .toText()
          .lines()
          .filter(line -> line.startsWith("bambooarch_requests_total{"))
          .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' '))))
          .sum();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Stops the instance and the servers. */
  @Override
  public void close() {
    targetClient.close();
    settle();
    loop.shutdown();
    while (!loop.isTerminated()) {
      loop.runNow();
    }
  }
}
