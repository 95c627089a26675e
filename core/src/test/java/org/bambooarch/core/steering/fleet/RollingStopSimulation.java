package org.bambooarch.core.steering.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.bambooarch.core.steering.config.CallerLimits;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.config.WeightedService;

/**
 * Instances in several regions that are stopped in turn, each of which starts again when it has
 * ended, with the heartbeats between them and with callers that look instances up, on a simulated
 * clock without a network.
 */
final class RollingStopSimulation {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long TICK_MILLIS = 20;
  private static final long HEARTBEAT_MILLIS = FleetTable.HEARTBEAT_NANOS / NANOS_PER_MILLI;

  /** Time for which a stopping instance accepts requests. */
  private static final long ACCEPT_MILLIS = 2_800;

  /** Time from the stop signal to the end of the process. */
  private static final long STOP_MILLIS = 3_000;

  /** Shortest time from the start of a process until it responds to look-ups. */
  private static final long MIN_LISTEN_MILLIS = 500;

  /** Shortest time from the start of a process until it is ready. */
  private static final long MIN_START_MILLIS = 2_000;

  private static final int START_SPREAD_MILLIS = 1_000;

  /** Time before the first stop, in which the instances hear each other. */
  private static final long CALM_MILLIS = 5_000;

  /** Time after the last stop, in which the last instance starts again. */
  private static final long END_MILLIS = 10_000;

  /** Number of instances, nearest first, that a caller asks until one answers. */
  private static final int ASKED_INSTANCES = 3;

  private static final long NEVER = Long.MAX_VALUE / 2;

  /**
   * What is played.
   *
   * @param instances number of instances, in equal parts in all regions
   * @param regions number of regions
   * @param stopIntervalMillis time between the stops of two instances, in milliseconds
   */
  record Plan(int instances, int regions, long stopIntervalMillis) {}

  /** How the look-ups of one kind of host ended. */
  static final class Counts {

    /** All look-ups. */
    int lookups;

    /** Look-ups that named an instance in a region that is neither the caller's nor a home. */
    int outside;

    /** Those of them while an instance of the caller's region was ready, as all can know. */
    int outsideBesideReady;

    /** Look-ups without an answer. */
    int unanswered;

    /**
     * Look-ups without an answer while an instance of the caller's region or of a home accepted
     * requests.
     */
    int unansweredBesideAccepting;

    /** Answered look-ups that named no instance which accepted requests. */
    int allClosed;

    void add(Counts other) {
      lookups += other.lookups;
      outside += other.outside;
      outsideBesideReady += other.outsideBesideReady;
      unanswered += other.unanswered;
      unansweredBesideAccepting += other.unansweredBesideAccepting;
      allClosed += other.allClosed;
    }

    @Override
    public String toString() {
      return ("lookups=%d outside=%d outside-beside-ready=%d unanswered=%d"
              + " unanswered-beside-accepting=%d all-closed=%d")
          .formatted(
              lookups,
              outside,
              outsideBesideReady,
              unanswered,
              unansweredBesideAccepting,
              allClosed);
    }
  }

  /** One instance, with the moments at which its current run changes. */
  private static final class Node {
    private InstanceIdentity identity;
    private FleetTable table;
    private long listensAtMillis;
    private long listReadAtMillis;
    private long configuredAtMillis;
    private long readyAtMillis;
    private long stopsAtMillis = NEVER;

    Node(InstanceIdentity identity) {
      this.identity = identity;
      this.table = new FleetTable(identity);
    }

    boolean isListening(long nowMillis) {
      return nowMillis >= listensAtMillis && nowMillis < stopsAtMillis + STOP_MILLIS;
    }

    boolean isReady(long nowMillis) {
      return nowMillis >= readyAtMillis && nowMillis < stopsAtMillis;
    }

    boolean acceptsRequests(long nowMillis) {
      return nowMillis >= readyAtMillis && nowMillis < stopsAtMillis + ACCEPT_MILLIS;
    }

    /** Returns for how much longer it accepts requests while it is stopping; 0 if it does not. */
    long acceptsForMillis(long nowMillis) {
      boolean stopping = nowMillis >= stopsAtMillis && acceptsRequests(nowMillis);
      return stopping ? stopsAtMillis + ACCEPT_MILLIS - nowMillis : 0;
    }

    Optional<StoppingInstance> stopping(long nowMillis) {
      return acceptsForMillis(nowMillis) == 0
          ? Optional.empty()
          : Optional.of(
              new StoppingInstance(identity, (stopsAtMillis + ACCEPT_MILLIS) * NANOS_PER_MILLI));
    }

    boolean isListed(long nowMillis) {
      return nowMillis >= listensAtMillis && nowMillis < stopsAtMillis;
    }

    void startAgain(long nowMillis, Random random) {
      identity =
          new InstanceIdentity(
              identity.name(),
              identity.incarnation() + 1,
              identity.region(),
              identity.dataCentre(),
              identity.callersAddress(),
              identity.peersAddress());
      table = new FleetTable(identity);
      stopsAtMillis = NEVER;
      readyAtMillis = nowMillis + MIN_START_MILLIS + random.nextInt(START_SPREAD_MILLIS);
      listensAtMillis = randomMoment(nowMillis + MIN_LISTEN_MILLIS, random);
      listReadAtMillis = randomMoment(listensAtMillis, random);
      configuredAtMillis = randomMoment(listensAtMillis, random);
    }

    private long randomMoment(long fromMillis, Random random) {
      long moment = random.nextLong(fromMillis, readyAtMillis);
      return moment - moment % TICK_MILLIS;
    }
  }

  private record Caller(String host, HomeRegions homes, String region, String dataCentre) {

    boolean mayUse(InstanceIdentity instance) {
      boolean ofRegion = instance.region().equals(region);
      return ofRegion || (hasHomes() && homes.permits(instance.region()));
    }

    boolean hasHomes() {
      return homes != HomeRegions.ALL;
    }
  }

  private record InTransit(Heartbeat heartbeat, Node recipient) {}

  private final Plan plan;
  private final Random random;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Node> nodesByName = new HashMap<>();
  private final Map<String, Node> nodesByAddress = new HashMap<>();
  private final List<Caller> callers = new ArrayList<>();
  private final Map<String, List<Node>> nearestByDataCentre = new HashMap<>();
  private final Deque<Node> stopOrder = new ArrayDeque<>();
  private final List<InTransit> inTransit = new ArrayList<>();
  private final SteeringConfig config;
  private long nowMillis;

  /** Look-ups of hosts with home regions. */
  final Counts withHomes = new Counts();

  /** Look-ups of hosts without home regions. */
  final Counts withoutHomes = new Counts();

  /**
   * Creates a play.
   *
   * @param seed seed of the order of the stops, of all start times and of the callers
   */
  RollingStopSimulation(Plan plan, long seed) {
    this.plan = plan;
    this.random = new Random(seed);
    for (int i = 0; i < plan.instances(); i++) {
      add(i);
    }
    List<ServiceRoute> routes = new ArrayList<>();
    for (int region = 0; region < plan.regions(); region++) {
      addCallers(region, routes);
    }
    this.config = new SteeringConfig(1, routes, List.of(), List.of(), new CallerLimits(1, 1, 1, 1));
    List<Node> order = new ArrayList<>(nodes);
    if (random.nextBoolean()) {
      Collections.shuffle(order, random);
    }
    stopOrder.addAll(order);
  }

  private void add(int index) {
    int region = index * plan.regions() / plan.instances();
    String dataCentre = "region-" + region + (index % 2 == 0 ? "-a" : "-b");
    String name = "entry-" + index;
    Node node =
        new Node(
            new InstanceIdentity(
                name, 1, "region-" + region, dataCentre, name + ":80", name + ":90"));
    nodes.add(node);
    nodesByName.put(name, node);
    nodesByAddress.put(name + ":80", node);
  }

  private void addCallers(int regionNumber, List<ServiceRoute> routes) {
    String region = "region-" + regionNumber;
    String next = "region-" + (regionNumber + 1) % plan.regions();
    for (Set<String> homes : List.of(Set.of(region), Set.of(next), Set.of(region, next))) {
      addCallers(region, routes, HomeRegions.ofListed(homes));
    }
    addCallers(region, routes, HomeRegions.ALL);
  }

  private void addCallers(String region, List<ServiceRoute> routes, HomeRegions homes) {
    String host = "host-" + routes.size();
    routes.add(
        new ServiceRoute(
            host,
            host,
            "/",
            true,
            1,
            1,
            1,
            0,
            true,
            false,
            homes,
            List.of(new WeightedService("shop", 1))));
    for (String dataCentre : List.of(region + "-a", region + "-b")) {
      callers.add(new Caller(host, homes, region, dataCentre));
      nearestByDataCentre.computeIfAbsent(dataCentre, name -> nearest(region, name));
    }
  }

  private List<Node> nearest(String region, String dataCentre) {
    List<Node> shuffled = new ArrayList<>(nodes);
    Collections.shuffle(shuffled, random);
    Comparator<Node> ofDataCentreFirst =
        Comparator.comparing(node -> !node.identity.dataCentre().equals(dataCentre));
    shuffled.sort(ofDataCentreFirst.thenComparing(node -> !node.identity.region().equals(region)));
    return List.copyOf(shuffled.subList(0, Math.min(ASKED_INSTANCES, shuffled.size())));
  }

  /** Plays one stop and start of each instance. */
  void run() {
    long lastStopMillis = CALM_MILLIS + (plan.instances() - 1) * plan.stopIntervalMillis();
    for (nowMillis = 0; nowMillis < lastStopMillis + END_MILLIS; nowMillis += TICK_MILLIS) {
      deliverHeartbeats();
      nodes.forEach(this::startAndReadList);
      stopNext();
      for (int i = 0; i < nodes.size(); i++) {
        if (nowMillis % HEARTBEAT_MILLIS == i * TICK_MILLIS % HEARTBEAT_MILLIS) {
          sendHeartbeats(nodes.get(i));
        }
      }
      if (nowMillis >= CALM_MILLIS) {
        lookUp(callers.get(random.nextInt(callers.size())));
      }
    }
  }

  private void startAndReadList(Node node) {
    if (nowMillis >= node.stopsAtMillis + STOP_MILLIS) {
      node.startAgain(nowMillis, random);
    }
    if (nowMillis == node.listReadAtMillis) {
      nodes.stream()
          .filter(other -> other.isListed(nowMillis))
          .forEach(other -> node.table.onListed(other.identity, nowNanos()));
      node.table.onListRead(nowNanos());
    }
  }

  private void stopNext() {
    long stopped = plan.instances() - stopOrder.size();
    if (!stopOrder.isEmpty()
        && nowMillis >= CALM_MILLIS + stopped * plan.stopIntervalMillis()
        && stopOrder.getFirst().isReady(nowMillis)) {
      Node node = stopOrder.removeFirst();
      node.stopsAtMillis = nowMillis;
      sendHeartbeats(node);
    }
  }

  private void sendHeartbeats(Node node) {
    if (!node.isListening(nowMillis)) {
      return;
    }
    node.table.tick(nowNanos());
    Heartbeat heartbeat =
        new Heartbeat(
            node.identity,
            node.isReady(nowMillis),
            node.acceptsForMillis(nowMillis),
            false,
            1,
            ListVersions.NONE,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            List.of());
    for (InstanceIdentity recipient : node.table.takeHeartbeatRecipients(nowNanos())) {
      inTransit.add(new InTransit(heartbeat, nodesByName.get(recipient.name())));
    }
  }

  private void deliverHeartbeats() {
    for (InTransit datagram : inTransit) {
      if (datagram.recipient().isListening(nowMillis)) {
        datagram.recipient().table.onHeartbeat(datagram.heartbeat(), nowNanos());
      }
    }
    inTransit.clear();
  }

  private void lookUp(Caller caller) {
    Counts counts = caller.hasHomes() ? withHomes : withoutHomes;
    counts.lookups++;
    for (Node asked : nearestByDataCentre.get(caller.dataCentre())) {
      List<String> addresses =
          asked.isListening(nowMillis) ? answer(asked, caller) : List.<String>of();
      if (!addresses.isEmpty()) {
        count(caller, addresses.stream().map(nodesByAddress::get).toList(), counts);
        return;
      }
    }
    counts.unanswered++;
    boolean oneAccepts =
        nodes.stream()
            .anyMatch(node -> caller.mayUse(node.identity) && node.acceptsRequests(nowMillis));
    counts.unansweredBesideAccepting += oneAccepts ? 1 : 0;
  }

  private List<String> answer(Node asked, Caller caller) {
    return InstanceDirectory.answer(
            new DirectoryLookup(caller.host(), caller.region(), caller.dataCentre()),
            new InstanceDirectory.Knowledge(
                asked.table,
                nowMillis >= asked.configuredAtMillis ? Optional.of(config) : Optional.empty(),
                asked.isReady(nowMillis),
                asked.stopping(nowMillis),
                false),
            nowNanos())
        .addresses();
  }

  private void count(Caller caller, List<Node> named, Counts counts) {
    if (named.stream().anyMatch(node -> !caller.mayUse(node.identity))) {
      counts.outside++;
      counts.outsideBesideReady += hasReadyInstance(caller.region()) ? 1 : 0;
    }
    if (named.stream().noneMatch(node -> node.acceptsRequests(nowMillis))) {
      counts.allClosed++;
    }
  }

  /**
   * Returns whether an instance of the region has told all others that it is ready. One that is
   * stopping is no longer listed: it has to be heard before it is told.
   */
  private boolean hasReadyInstance(String region) {
    return nodes.stream()
        .filter(node -> node.identity.region().equals(region) && node.isReady(nowMillis))
        .anyMatch(node -> nowMillis > node.readyAtMillis + 2 * (HEARTBEAT_MILLIS + TICK_MILLIS));
  }

  private long nowNanos() {
    return nowMillis * NANOS_PER_MILLI;
  }
}
