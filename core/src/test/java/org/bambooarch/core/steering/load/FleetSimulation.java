package org.bambooarch.core.steering.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServicePolicy;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.hash.Hashes;
import org.bambooarch.core.steering.load.SimulatedDeployment.DataCentre;
import org.bambooarch.core.steering.load.SimulatedDeployment.RequestKind;
import org.bambooarch.core.steering.load.SimulatedDeployment.Service;
import org.bambooarch.core.steering.place.LimitShares;
import org.bambooarch.core.steering.place.Placement;
import org.bambooarch.core.steering.place.PlacementQuery;
import org.bambooarch.core.steering.place.ServerChooser;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.steering.place.ServerOwners;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.core.steering.place.ServerTable;

/**
 * A simulated fleet of instances that choose servers with {@link ServerChooser}, on a simulated
 * clock.
 *
 * <p>Instances hear of each other's requests by heartbeats only. Callers repeat a refused request
 * once, after the time that the instance named.
 */
final class FleetSimulation {

  private static final double HEARTBEAT_MILLIS = 500;
  private static final double TICK_MILLIS = 100;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double POPULARITY_EXPONENT = 0.2;
  private static final double LATE_VALUE = 0.2;
  private static final int MAX_ATTEMPTS = 3;

  /** Requests of one group, such as a region's, and how they ended. */
  static final class Tally {
    int asked;
    int inTime;
    int late;
    int refused;
    double value;
    double owed;

    double credit() {
      return owed == 0 ? 1 : value / owed;
    }

    double refusedFraction() {
      return (double) refused / Math.max(1, asked);
    }

    @Override
    public String toString() {
      return "asked %d credit %.3f late %.3f refused %.3f"
          .formatted(asked, credit(), (double) late / Math.max(1, asked), refusedFraction());
    }
  }

  /** How the requests of a run ended. */
  static final class Result {
    final Tally all = new Tally();
    final Map<String, Tally> byKind = new TreeMap<>();
    final Map<String, Tally> byDataCentre = new TreeMap<>();
    int sends;
    int sendsToOtherRegions;
    int sendsToOtherDataCentres;

    private List<Tally> talliesOf(Request request) {
      return List.of(
          all,
          byKind.computeIfAbsent(request.kind.name(), k -> new Tally()),
          byDataCentre.computeIfAbsent(request.dataCentre.name(), k -> new Tally()));
    }

    static double worst(Map<?, Tally> tallies) {
      return tallies.values().stream().mapToDouble(Tally::credit).min().orElse(0);
    }

    double fractionToOtherRegions() {
      return (double) sendsToOtherRegions / Math.max(1, sends);
    }

    @Override
    public String toString() {
      return "%s; worst kind %.3f, data centre %.3f; other regions %.3f, other data centres %.3f"
          .formatted(
              all,
              worst(byKind),
              worst(byDataCentre),
              fractionToOtherRegions(),
              (double) sendsToOtherDataCentres / Math.max(1, sends));
    }
  }

  private static final class Instance {
    private final String dataCentre;
    private final InstanceIdentity identity;
    private final Map<Integer, Map<Integer, Integer>> inFlightOfPeers = new HashMap<>();
    private final Map<Integer, Map<Integer, Double>> limitsOfPeers = new HashMap<>();
    private ServerTable table;
    private ServerChooser chooser;

    private Instance(InstanceIdentity identity) {
      this.identity = identity;
      this.dataCentre = identity.dataCentre();
    }
  }

  private final class Request {
    private final RequestKind kind;
    private final DataCentre dataCentre;
    private final long object;
    private final double askedMillis = clock.nowMillis();
    private final Set<String> tried = new HashSet<>();
    private final HomeRegions homeRegions =
        random.nextDouble() < deployment.boundFraction()
            ? HomeRegions.ofListed(Set.of(deployment.boundRegion()))
            : HomeRegions.ALL;
    private int attempts;

    private Request(RequestKind kind, DataCentre dataCentre, long object) {
      this.kind = kind;
      this.dataCentre = dataCentre;
      this.object = object;
    }
  }

  private final SimulatedDeployment deployment;
  private final Random random;
  private final EventClock clock = new EventClock();
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, SimulatedServer> servers = new LinkedHashMap<>();
  private final List<ServerEntry> entries = new ArrayList<>();
  private final Map<String, ServicePolicy> policies = new HashMap<>();
  private final Result result = new Result();
  private ToDoubleFunction<DataCentre> rateFactor = dataCentre -> 1;
  private double endMillis;

  FleetSimulation(SimulatedDeployment deployment, long seed) {
    this.deployment = deployment;
    this.random = new Random(seed);
    for (Service service : deployment.services()) {
      policies.put(service.name(), new ServicePolicy(service.name(), "/", 390, 3_000, 15));
      service
          .serversByDataCentre()
          .forEach((dataCentre, count) -> addServers(service, dataCentre, count));
    }
    entries.sort(Comparator.comparing(ServerEntry::id));
    for (DataCentre dataCentre : deployment.dataCentres()) {
      for (int i = 0; i < dataCentre.instances(); i++) {
        Instance instance = new Instance(identity(dataCentre, i));
        instances.add(instance);
        start(instance);
      }
    }
  }

  private static InstanceIdentity identity(DataCentre dataCentre, int number) {
    return new InstanceIdentity(
        dataCentre.name() + "-" + number, 1, dataCentre.region(), dataCentre.name(), "a:1", "a:2");
  }

  private void addServers(Service service, String dataCentre, int count) {
    for (int i = 0; i < count; i++) {
      String id = service.name() + "-" + dataCentre + "-" + i + "-" + random.nextInt(1 << 20);
      servers.put(id, new SimulatedServer(dataCentre, service, clock, random));
      entries.add(
          new ServerEntry(
              id, service.name(), "10.0.0.1", 80, dataCentre, service.slots(), false, 0, 1));
    }
  }

  private void start(Instance instance) {
    instance.table = new ServerTable(deployment.regionByDataCentre());
    instance.table.replaceAll(entries, 0, clock.nowNanos());
    ServerOwners owners = new ServerOwners(instance.identity);
    owners.onOtherInstances(otherInstances(instance.identity));
    instance.chooser =
        new ServerChooser(
            instance.table, instance.identity.region(), owners, new LimitShares(owners));
    instance.inFlightOfPeers.clear();
    instance.limitsOfPeers.clear();
  }

  private List<InstanceIdentity> otherInstances(InstanceIdentity self) {
    return deployment.dataCentres().stream()
        .flatMap(
            dataCentre ->
                IntStream.range(0, dataCentre.instances())
                    .mapToObj(number -> identity(dataCentre, number)))
        .filter(identity -> !identity.equals(self))
        .toList();
  }

  /** Restarts all instances at a moment, so that they lose what they know of servers. */
  FleetSimulation restartInstancesAt(double millis) {
    clock.at(millis, () -> instances.forEach(this::start));
    return this;
  }

  /** Applies a change to the servers of a service at a moment. */
  FleetSimulation changeServersAt(
      double millis, String idPrefix, Consumer<SimulatedServer> change) {
    clock.at(
        millis,
        () ->
            servers.forEach(
                (id, server) -> {
                  if (id.startsWith(idPrefix)) {
                    change.accept(server);
                  }
                }));
    return this;
  }

  /** Removes servers from the list at a moment. */
  FleetSimulation removeServersAt(double millis, String idPrefix) {
    clock.at(
        millis,
        () -> {
          entries.removeIf(entry -> entry.id().startsWith(idPrefix));
          for (Instance instance : instances) {
            instance.table.replaceAll(entries, 3_000, clock.nowNanos());
          }
        });
    return this;
  }

  /** Multiplies the rates of data centres by a factor that may depend on the time. */
  FleetSimulation withRateFactor(ToDoubleFunction<DataCentre> factor) {
    rateFactor = factor;
    return this;
  }

  double nowMillis() {
    return clock.nowMillis();
  }

  /** Runs the simulation for a time, in milliseconds, and returns how all requests ended. */
  Result run(double durationMillis) {
    endMillis = durationMillis;
    deployment.dataCentres().forEach(dataCentre -> clock.at(0, () -> arriveNext(dataCentre)));
    for (Instance instance : instances) {
      clock.at(random.nextDouble() * HEARTBEAT_MILLIS, () -> sendHeartbeat(instance));
      clock.at(random.nextDouble() * TICK_MILLIS, () -> tick(instance));
    }
    clock.runUntil(durationMillis + 5_000);
    return result;
  }

  private void arriveNext(DataCentre dataCentre) {
    double rate = dataCentre.requestsPerSecond() * rateFactor.applyAsDouble(dataCentre);
    double nextMillis = -StrictMath.log(1 - random.nextDouble()) * 1_000 / Math.max(0.1, rate);
    if (clock.nowMillis() > endMillis) {
      return;
    }
    clock.after(
        nextMillis,
        () -> {
          ask(newRequest(dataCentre));
          arriveNext(dataCentre);
        });
  }

  private Request newRequest(DataCentre dataCentre) {
    double point = random.nextDouble();
    RequestKind kind = null;
    for (RequestKind candidate : deployment.requestKinds()) {
      kind = candidate;
      point -= candidate.share();
      if (point < 0) {
        break;
      }
    }
    int number = popularObject(kind.objectsPerRegion());
    long object = Hashes.of(dataCentre.region() + "/" + kind.name() + "/" + number);
    return new Request(kind, dataCentre, object);
  }

  /** Draws an object whose popularity falls slowly with its number. */
  private int popularObject(int objects) {
    while (true) {
      int number = random.nextInt(objects);
      if (random.nextDouble() < StrictMath.pow(number + 1, -POPULARITY_EXPONENT)) {
        return number;
      }
    }
  }

  private void ask(Request request) {
    result
        .talliesOf(request)
        .forEach(
            tally -> {
              tally.asked++;
              tally.owed += request.kind.value();
            });
    sendToInstance(request);
  }

  private void sendToInstance(Request request) {
    request.attempts++;
    request.tried.clear();
    List<Instance> near =
        instances.stream().filter(i -> i.dataCentre.equals(request.dataCentre.name())).toList();
    Instance instance = near.get(random.nextInt(near.size()));
    clock.after(
        request.kind.connectMillis() + deployment.callerMillis(),
        () -> place(request, instance, clock.nowMillis()));
  }

  private void place(Request request, Instance instance, double arrivedMillis) {
    double elapsedMillis = clock.nowMillis() - arrivedMillis;
    RequestKind kind = request.kind;
    double callerLeftMillis = kind.timeoutMillis() - (arrivedMillis - request.askedMillis);
    PlacementQuery query =
        new PlacementQuery(
            kind.service(),
            kind.name(),
            request.object,
            kind.priority(),
            (long) ((kind.targetMillis() - elapsedMillis) * NANOS_PER_MILLI),
            (long) ((callerLeftMillis - elapsedMillis) * NANOS_PER_MILLI),
            request.homeRegions,
            Set.copyOf(request.tried));
    switch (instance.chooser.choose(query, policies.get(kind.service()), clock.nowNanos())) {
      case Placement.Chosen(ServerState server, int load) ->
          send(request, instance, query, server, load, arrivedMillis);
      case Placement.NoRoom(long retryAfterMillis, var details) ->
          refuse(request, retryAfterMillis);
    }
  }

  private void refuse(Request request, long retryAfterMillis) {
    double leftMillis = request.kind.timeoutMillis() - (clock.nowMillis() - request.askedMillis);
    if (request.attempts < 2 && leftMillis > 0) {
      double waitMillis = Math.min(retryAfterMillis, leftMillis / 3);
      clock.after(waitMillis + 2 * deployment.callerMillis(), () -> sendToInstance(request));
      return;
    }
    result.talliesOf(request).forEach(tally -> tally.refused++);
  }

  private void send(
      Request request,
      Instance instance,
      PlacementQuery query,
      ServerState state,
      int load,
      double arrivedMillis) {
    SimulatedServer server = servers.get(state.entry().id());
    double oneWayMillis = deployment.oneWayMillis(instance.dataCentre, server.dataCentre());
    countSend(instance, server);
    state.onSent();
    request.tried.add(state.entry().id());
    double sentMillis = clock.nowMillis();
    clock.after(
        oneWayMillis,
        () -> {
          boolean taken =
              server.offer(
                  request.object,
                  request.kind.coldMillis(),
                  () -> {
                    int running = server.running();
                    int waiting = server.waiting();
                    OptionalDouble limit = server.limitPerSecond();
                    clock.after(
                        oneWayMillis,
                        () -> {
                          state.limit().onResponse(limit, clock.nowNanos());
                          answered(instance, query, state, load, sentMillis, running, waiting);
                          finish(request);
                        });
                  });
          if (!taken) {
            clock.after(
                oneWayMillis, () -> rejected(request, instance, state, server, arrivedMillis));
          }
        });
  }

  private void countSend(Instance instance, SimulatedServer server) {
    result.sends++;
    Map<String, String> regions = deployment.regionByDataCentre();
    if (!regions.get(server.dataCentre()).equals(instance.identity.region())) {
      result.sendsToOtherRegions++;
    }
    if (!server.dataCentre().equals(instance.dataCentre)) {
      result.sendsToOtherDataCentres++;
    }
  }

  private void rejected(
      Request request,
      Instance instance,
      ServerState state,
      SimulatedServer server,
      double arrivedMillis) {
    state.onRequestEnded();
    state.onLoadReported(server.running(), server.waiting(), clock.nowNanos());
    state.onShed(clock.nowNanos());
    if (request.tried.size() < MAX_ATTEMPTS) {
      place(request, instance, arrivedMillis);
    } else {
      refuse(request, 500);
    }
  }

  private void answered(
      Instance instance,
      PlacementQuery query,
      ServerState state,
      int load,
      double sentMillis,
      int running,
      int waiting) {
    state.onRequestEnded();
    state.onLoadReported(running, waiting, clock.nowNanos());
    long responseTimeNanos = (long) ((clock.nowMillis() - sentMillis) * NANOS_PER_MILLI);
    state.onAnswered(responseTimeNanos, false);
    instance.chooser.onServed(query, state, load, responseTimeNanos, clock.nowNanos());
  }

  private void finish(Request request) {
    double tookMillis = clock.nowMillis() + deployment.callerMillis() - request.askedMillis;
    boolean inTime = tookMillis <= request.kind.targetMillis();
    if (tookMillis > request.kind.timeoutMillis()) {
      result.talliesOf(request).forEach(tally -> tally.refused++);
      return;
    }
    for (Tally tally : result.talliesOf(request)) {
      tally.inTime += inTime ? 1 : 0;
      tally.late += inTime ? 0 : 1;
      tally.value += request.kind.value() * (inTime ? 1 : LATE_VALUE);
    }
  }

  private void sendHeartbeat(Instance instance) {
    Map<Integer, Integer> inFlight = instance.table.ownInFlight();
    Map<Integer, Double> limits = instance.table.ownLimits(clock.nowNanos());
    for (int i = 0; i < instances.size(); i++) {
      Instance peer = instances.get(i);
      if (peer != instance) {
        int sender = instances.indexOf(instance);
        clock.after(
            deployment.oneWayMillis(instance.dataCentre, peer.dataCentre),
            () -> {
              peer.inFlightOfPeers.put(sender, inFlight);
              peer.limitsOfPeers.put(sender, limits);
            });
      }
    }
    if (clock.nowMillis() < endMillis) {
      clock.after(HEARTBEAT_MILLIS, () -> sendHeartbeat(instance));
    }
  }

  private void tick(Instance instance) {
    Map<Integer, Integer> sums = new HashMap<>();
    for (Map<Integer, Integer> inFlight : instance.inFlightOfPeers.values()) {
      inFlight.forEach((server, count) -> sums.merge(server, count, Integer::sum));
    }
    instance.table.updatePeersInFlight(sums);
    Map<Integer, Double> lowestLimits = new HashMap<>();
    for (Map<Integer, Double> limits : instance.limitsOfPeers.values()) {
      limits.forEach((server, limit) -> lowestLimits.merge(server, limit, Math::min));
    }
    instance.table.updateReportedLimits(lowestLimits);
    instance.chooser.tick(policies.keySet(), clock.nowNanos());
    if (clock.nowMillis() < endMillis) {
      clock.after(TICK_MILLIS, () -> tick(instance));
    }
  }
}
