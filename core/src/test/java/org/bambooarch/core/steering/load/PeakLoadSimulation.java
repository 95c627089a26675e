package org.bambooarch.core.steering.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServicePolicy;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.hash.Hashes;
import org.bambooarch.core.steering.place.LimitShares;
import org.bambooarch.core.steering.place.Placement;
import org.bambooarch.core.steering.place.PlacementQuery;
import org.bambooarch.core.steering.place.ServerChooser;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.steering.place.ServerOwners;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.core.steering.place.ServerTable;

/**
 * Simulates requests for objects for which servers stay warm for a while, on a simulated clock.
 *
 * <p>Instances learn of each other's requests only by heartbeats, and so with a delay. Servers run
 * a few requests at once, queue some more, and need a third of the time (30 %) for objects that are
 * among the last that they handled.
 */
final class PeakLoadSimulation {

  private static final String SERVICE = "shop";
  private static final int INSTANCES = 4;
  private static final int SERVERS = 4;
  private static final int SLOTS = 5;
  private static final int QUEUE_CAPACITY = 15;
  private static final int MAX_WARM_OBJECTS = 25;
  private static final int OBJECTS = 48;
  private static final double COLD_PROCESSING_MILLIS = 880;
  private static final long TARGET_LATENCY_MILLIS = 600;
  private static final long TIMEOUT_MILLIS = 2_500;
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** How an instance chooses a server; null means that it refuses the request. */
  interface SelectionPolicy {
    ServerState choose(Instance instance, PlacementQuery query, long nowNanos);
  }

  /** The number of requests, and of those with each result. */
  record Result(int asked, int inTime, int late, int refused) {}

  static final class Instance {
    final ServerTable table = new ServerTable(Map.of("north-a", "north"));
    final ServerChooser chooser;

    Instance(InstanceIdentity identity) {
      ServerOwners owners = new ServerOwners(identity);
      chooser = new ServerChooser(table, "north", owners, new LimitShares(owners));
    }
  }

  private final Random random;
  private final SelectionPolicy policy;
  private final EventClock clock = new EventClock();
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, SimulatedServer> servers = new HashMap<>();
  private int asked;
  private int inTime;
  private int late;
  private int refused;

  PeakLoadSimulation(long seed, SelectionPolicy policy) {
    this.random = new Random(seed);
    this.policy = policy;
    List<ServerEntry> entries = new ArrayList<>();
    SimulatedDeployment.Service service =
        new SimulatedDeployment.Service(SERVICE, Map.of(), SLOTS, QUEUE_CAPACITY, MAX_WARM_OBJECTS);
    for (int i = 0; i < SERVERS; i++) {
      String id = "server-" + i;
      servers.put(id, new SimulatedServer("north-a", service, clock, random));
      entries.add(new ServerEntry(id, SERVICE, "10.0.0.1", 80, "north-a", SLOTS, false, 0, 1));
    }
    for (int i = 0; i < INSTANCES; i++) {
      Instance instance =
          new Instance(new InstanceIdentity("entry-" + i, 1, "north", "north-a", "a:1", "a:2"));
      instance.table.replaceAll(entries, 0, 0);
      instances.add(instance);
    }
  }

  /** The policy under test: {@link ServerChooser}. */
  static SelectionPolicy serverChooser() {
    return (instance, query, nowNanos) ->
        switch (instance.chooser.choose(
            query, new ServicePolicy(SERVICE, "/", 360, 0, 100), nowNanos)) {
          case Placement.Chosen chosen -> chosen.server();
          case Placement.NoRoom none -> null;
        };
  }

  /** The baseline policy: the server with the fewest requests, and never a refusal. */
  static SelectionPolicy leastLoaded() {
    return (instance, query, nowNanos) -> {
      ServerState best = null;
      for (ServerState state : instance.table.all()) {
        if (best == null || state.load(nowNanos) < best.load(nowNanos)) {
          best = state;
        }
      }
      return best;
    };
  }

  Result run(double requestsPerSecond, long durationMillis) {
    clock.at(0, () -> arrive(requestsPerSecond, durationMillis));
    clock.at(0, () -> exchangeHeartbeats(durationMillis));
    clock.runUntil(Double.POSITIVE_INFINITY);
    return new Result(asked, inTime, late, refused);
  }

  private void arrive(double requestsPerSecond, long untilMillis) {
    ask(random.nextInt(OBJECTS), instances.get(random.nextInt(INSTANCES)));
    double next =
        clock.nowMillis() - StrictMath.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
    if (next < untilMillis) {
      clock.at(next, () -> arrive(requestsPerSecond, untilMillis));
    }
  }

  private void ask(int object, Instance instance) {
    asked++;
    double askedMillis = clock.nowMillis();
    PlacementQuery query =
        new PlacementQuery(
            SERVICE,
            SERVICE,
            Hashes.of("object-" + object),
            0,
            TARGET_LATENCY_MILLIS * NANOS_PER_MILLI,
            TIMEOUT_MILLIS * NANOS_PER_MILLI,
            HomeRegions.ALL,
            Set.of());
    ServerState state = policy.choose(instance, query, nowNanos());
    if (state == null) {
      refused++;
      return;
    }
    int load = state.load(nowNanos());
    SimulatedServer server = servers.get(state.entry().id());
    state.onSent();
    boolean taken =
        server.offer(
            object,
            COLD_PROCESSING_MILLIS,
            () -> answered(instance, query, state, server, load, askedMillis));
    if (!taken) {
      state.onRequestEnded();
      state.onShed(nowNanos());
      refused++;
    }
  }

  private void answered(
      Instance instance,
      PlacementQuery query,
      ServerState state,
      SimulatedServer server,
      int load,
      double since) {
    state.onRequestEnded();
    state.onLoadReported(server.running(), server.waiting(), nowNanos());
    long responseTimeNanos = (long) ((clock.nowMillis() - since) * NANOS_PER_MILLI);
    state.onAnswered(responseTimeNanos, false);
    instance.chooser.onServed(query, state, load, responseTimeNanos, nowNanos());
    if (clock.nowMillis() - since <= TARGET_LATENCY_MILLIS) {
      inTime++;
    } else {
      late++;
    }
  }

  private void exchangeHeartbeats(long untilMillis) {
    for (Instance instance : instances) {
      Map<Integer, Integer> others = new HashMap<>();
      for (Instance other : instances) {
        if (other != instance) {
          other.table.ownInFlight().forEach((hash, n) -> others.merge(hash, n, Integer::sum));
        }
      }
      instance.table.updatePeersInFlight(others);
      instance.chooser.tick(List.of(SERVICE), nowNanos());
    }
    if (clock.nowMillis() + HEARTBEAT_MILLIS < untilMillis) {
      clock.after(HEARTBEAT_MILLIS, () -> exchangeHeartbeats(untilMillis));
    }
  }

  private long nowNanos() {
    return clock.nowNanos();
  }
}
