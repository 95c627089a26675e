package org.bambooarch.core.steering.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.bambooarch.core.steering.config.ServicePolicy;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.hash.Hashes;
import org.bambooarch.core.steering.place.ColdServerOwners;
import org.bambooarch.core.steering.place.Placement;
import org.bambooarch.core.steering.place.PlacementQuery;
import org.bambooarch.core.steering.place.ServerChooser;
import org.bambooarch.core.steering.place.ServerEntry;
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
  private static final double WARM_PROCESSING_MILLIS = 264;
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
      chooser = new ServerChooser(table, "north", new ColdServerOwners(identity));
    }
  }

  private record Event(double atMillis, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private record Queued(int object, Runnable onEnd) {}

  private final class Server {
    private final Deque<Queued> queue = new ArrayDeque<>();
    private final Map<Integer, Boolean> warmObjects =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
            return size() > MAX_WARM_OBJECTS;
          }
        };
    private int running;

    private boolean offer(int object, Runnable onEnd) {
      if (running < SLOTS) {
        run(object, onEnd);
        return true;
      }
      return queue.size() < QUEUE_CAPACITY && queue.add(new Queued(object, onEnd));
    }

    private void run(int object, Runnable onEnd) {
      running++;
      boolean warm = warmObjects.containsKey(object);
      double processing =
          (warm ? WARM_PROCESSING_MILLIS : COLD_PROCESSING_MILLIS)
              * (0.85 + 0.3 * random.nextDouble());
      at(nowMillis + processing, () -> end(object, onEnd));
    }

    private void end(int object, Runnable onEnd) {
      running--;
      warmObjects.put(object, true);
      onEnd.run();
      if (!queue.isEmpty()) {
        Queued next = queue.poll();
        run(next.object(), next.onEnd());
      }
    }
  }

  private final Random random;
  private final SelectionPolicy policy;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, Server> servers = new HashMap<>();
  private double nowMillis;
  private long eventCount;
  private int asked;
  private int inTime;
  private int late;
  private int refused;

  PeakLoadSimulation(long seed, SelectionPolicy policy) {
    this.random = new Random(seed);
    this.policy = policy;
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      String id = "server-" + i;
      servers.put(id, new Server());
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
    at(0, () -> arrive(requestsPerSecond, durationMillis));
    at(0, () -> exchangeHeartbeats(durationMillis));
    while (!events.isEmpty()) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    return new Result(asked, inTime, late, refused);
  }

  private void at(double millis, Runnable action) {
    events.add(new Event(millis, eventCount++, action));
  }

  private void arrive(double requestsPerSecond, long untilMillis) {
    ask(random.nextInt(OBJECTS), instances.get(random.nextInt(INSTANCES)));
    double next = nowMillis - Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
    if (next < untilMillis) {
      at(next, () -> arrive(requestsPerSecond, untilMillis));
    }
  }

  private void ask(int object, Instance instance) {
    asked++;
    double askedMillis = nowMillis;
    PlacementQuery query =
        new PlacementQuery(
            SERVICE,
            Hashes.of("object-" + object),
            0,
            TARGET_LATENCY_MILLIS * NANOS_PER_MILLI,
            TIMEOUT_MILLIS * NANOS_PER_MILLI,
            Set.of(),
            Set.of());
    ServerState state = policy.choose(instance, query, nowNanos());
    if (state == null) {
      refused++;
      return;
    }
    int load = state.load(nowNanos());
    Server server = servers.get(state.entry().id());
    state.onSent();
    boolean taken =
        server.offer(object, () -> answered(instance, query, state, server, load, askedMillis));
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
      Server server,
      int load,
      double since) {
    state.onRequestEnded();
    state.onLoadReported(server.running, server.queue.size(), nowNanos());
    long responseTimeNanos = (long) ((nowMillis - since) * NANOS_PER_MILLI);
    state.onAnswered(responseTimeNanos, false);
    instance.chooser.onServed(query, state, load, responseTimeNanos, nowNanos());
    if (nowMillis - since <= TARGET_LATENCY_MILLIS) {
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
    if (nowMillis + HEARTBEAT_MILLIS < untilMillis) {
      at(nowMillis + HEARTBEAT_MILLIS, () -> exchangeHeartbeats(untilMillis));
    }
  }

  private long nowNanos() {
    return (long) (nowMillis * NANOS_PER_MILLI);
  }
}
