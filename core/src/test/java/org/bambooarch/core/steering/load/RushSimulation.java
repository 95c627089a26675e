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
 * A day of requests for objects that their servers remember for a while, on a simulated clock.
 *
 * <p>Instances see each other's requests as late as heartbeats tell. Servers run a few requests at
 * once, queue some, and need a third of the time for objects among the last that they handled.
 */
final class RushSimulation {

  private static final String SERVICE = "shop";
  private static final int INSTANCES = 4;
  private static final int SERVERS = 4;
  private static final int SLOTS = 5;
  private static final int QUEUE = 15;
  private static final int REMEMBERED_OBJECTS = 25;
  private static final int OBJECTS = 48;
  private static final double COLD_WORK_MILLIS = 880;
  private static final double WARM_WORK_MILLIS = 264;
  private static final long AIM_MILLIS = 600;
  private static final long TIMEOUT_MILLIS = 2_500;
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** How an instance finds a server. */
  interface Policy {
    ServerState choose(Node node, PlacementQuery query, long nowNanos);
  }

  /** What became of the requests. */
  record Result(int asked, int inTime, int late, int refused) {}

  static final class Node {
    final ServerTable table = new ServerTable(Map.of("north-a", "north"));
    final ServerChooser chooser;

    Node(InstanceIdentity identity) {
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

  private record Waiting(int object, Runnable onEnd) {}

  private final class Server {
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final Map<Integer, Boolean> remembered =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
            return size() > REMEMBERED_OBJECTS;
          }
        };
    private int running;

    private boolean offer(int object, Runnable onEnd) {
      if (running < SLOTS) {
        run(object, onEnd);
        return true;
      }
      return queue.size() < QUEUE && queue.add(new Waiting(object, onEnd));
    }

    private void run(int object, Runnable onEnd) {
      running++;
      boolean warm = remembered.containsKey(object);
      double work =
          (warm ? WARM_WORK_MILLIS : COLD_WORK_MILLIS) * (0.85 + 0.3 * random.nextDouble());
      at(nowMillis + work, () -> end(object, onEnd));
    }

    private void end(int object, Runnable onEnd) {
      running--;
      remembered.put(object, true);
      onEnd.run();
      if (!queue.isEmpty()) {
        Waiting next = queue.poll();
        run(next.object(), next.onEnd());
      }
    }
  }

  private final Random random;
  private final Policy policy;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Server> servers = new HashMap<>();
  private double nowMillis;
  private long orders;
  private int asked;
  private int inTime;
  private int late;
  private int refused;

  RushSimulation(long seed, Policy policy) {
    this.random = new Random(seed);
    this.policy = policy;
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      String id = "server-" + i;
      servers.put(id, new Server());
      entries.add(new ServerEntry(id, SERVICE, "10.0.0.1", 80, "north-a", SLOTS, false, 0, 1));
    }
    for (int i = 0; i < INSTANCES; i++) {
      Node node = new Node(new InstanceIdentity("entry-" + i, 1, "north", "north-a", "a:1", "a:2"));
      node.table.replaceAll(entries, 0, 0);
      nodes.add(node);
    }
  }

  /** The choice under test. */
  static Policy chooserOfTheProduct() {
    return (node, query, nowNanos) ->
        switch (node.chooser.choose(
            query, new ServicePolicy(SERVICE, "/", 360, 0, 100), nowNanos)) {
          case Placement.Chosen chosen -> chosen.server();
          case Placement.NoRoom none -> null;
        };
  }

  /** The baseline: any server with the fewest requests. */
  static Policy leastLoaded() {
    return (node, query, nowNanos) -> {
      ServerState best = null;
      for (ServerState cell : node.table.all()) {
        if (best == null || cell.load(nowNanos) < best.load(nowNanos)) {
          best = cell;
        }
      }
      return best;
    };
  }

  Result run(double requestsPerSecond, long forMillis) {
    at(0, () -> arrive(requestsPerSecond, forMillis));
    at(0, () -> beat(forMillis));
    while (!events.isEmpty()) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    return new Result(asked, inTime, late, refused);
  }

  private void at(double millis, Runnable action) {
    events.add(new Event(millis, orders++, action));
  }

  private void arrive(double requestsPerSecond, long untilMillis) {
    ask(random.nextInt(OBJECTS), nodes.get(random.nextInt(INSTANCES)));
    double next = nowMillis - Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
    if (next < untilMillis) {
      at(next, () -> arrive(requestsPerSecond, untilMillis));
    }
  }

  private void ask(int object, Node node) {
    asked++;
    double askedMillis = nowMillis;
    PlacementQuery query =
        new PlacementQuery(
            SERVICE,
            Hashes.of("object-" + object),
            0,
            AIM_MILLIS * NANOS_PER_MILLI,
            TIMEOUT_MILLIS * NANOS_PER_MILLI,
            Set.of(),
            Set.of());
    ServerState cell = policy.choose(node, query, nowNanos());
    if (cell == null) {
      refused++;
      return;
    }
    int load = cell.load(nowNanos());
    Server server = servers.get(cell.entry().id());
    cell.onSent();
    boolean taken =
        server.offer(object, () -> answered(node, query, cell, server, load, askedMillis));
    if (!taken) {
      cell.onRequestEnded();
      cell.onShed(nowNanos());
      refused++;
    }
  }

  private void answered(
      Node node, PlacementQuery query, ServerState cell, Server server, int load, double since) {
    cell.onRequestEnded();
    cell.onLoadReported(server.running, server.queue.size(), nowNanos());
    long tookNanos = (long) ((nowMillis - since) * NANOS_PER_MILLI);
    cell.onAnswered(tookNanos, false);
    node.chooser.onServed(query, cell, load, tookNanos, nowNanos());
    if (nowMillis - since <= AIM_MILLIS) {
      inTime++;
    } else {
      late++;
    }
  }

  private void beat(long untilMillis) {
    for (Node node : nodes) {
      Map<Integer, Integer> others = new HashMap<>();
      for (Node other : nodes) {
        if (other != node) {
          other.table.ownInFlight().forEach((hash, n) -> others.merge(hash, n, Integer::sum));
        }
      }
      node.table.updatePeersInFlight(others);
      node.chooser.tick(List.of(SERVICE), nowNanos());
    }
    if (nowMillis + HEARTBEAT_MILLIS < untilMillis) {
      at(nowMillis + HEARTBEAT_MILLIS, () -> beat(untilMillis));
    }
  }

  private long nowNanos() {
    return (long) (nowMillis * NANOS_PER_MILLI);
  }
}
