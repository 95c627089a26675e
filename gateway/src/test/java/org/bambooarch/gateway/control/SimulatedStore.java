package org.bambooarch.gateway.control;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bambooarch.core.steering.config.CallerLimits;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.time.Clock;
import org.bambooarch.gateway.spi.ControlChange;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.ControlStoreException;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;

/**
 * A store without sockets that loses responses, delays them, falls silent, stops telling waiting
 * calls of changes and drops its history. It acknowledges each write at once.
 *
 * <p>Used on one event loop only, whose time is that of the clock.
 */
final class SimulatedStore {

  private static final Comparator<Row> BY_VERSION = Comparator.comparingLong(Row::version);

  private record Row(ControlChange change, long version, boolean removed) {}

  /** One call of an instance for a list, and what becomes of its response. */
  record Call(Topic topic, long atMillis, boolean lost, long delayMillis) {}

  /** A call that waits for changes. */
  private record Waiting(
      Client client,
      Topic topic,
      long after,
      long delayMillis,
      CompletableFuture<ControlUpdate> result) {}

  private final EventLoop loop;
  private final Clock clock;
  private final RandomGenerator random;
  private final Map<String, Client> clients = new HashMap<>();
  private final Map<Topic, TreeMap<String, Row>> tables = new EnumMap<>(Topic.class);
  private final List<Waiting> waiting = new ArrayList<>();
  private long version = 1;
  private long oldestKnownVersion;
  private boolean tellsNoChanges;
  private double lossProbability;
  private double delayProbability;
  private long longestDelayMillis;

  SimulatedStore(EventLoop loop, Clock clock, RandomGenerator random) {
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    for (Topic topic : Topic.values()) {
      tables.put(topic, new TreeMap<>());
    }
  }

  /** Sets which part of the responses is lost, and which part is late by how much at most. */
  void setTrouble(double lossProbability, double delayProbability, long longestDelayMillis) {
    this.lossProbability = lossProbability;
    this.delayProbability = delayProbability;
    this.longestDelayMillis = longestDelayMillis;
  }

  void put(Topic topic, String key, ControlChange change) {
    write(topic, key, change, false);
  }

  /** Writes a configuration without routes. */
  void putConfiguration(long version) {
    SteeringConfig config =
        new SteeringConfig(
            version,
            List.of(),
            List.of(),
            List.of(),
            new CallerLimits(16_384, 1 << 20, 3_000, 15_000));
    put(Topic.OPERATOR, "config", new ControlChange.ConfigurationChanged(config));
  }

  /** Removes a row; the change tells instances of it. */
  void remove(Topic topic, String key, ControlChange change) {
    write(topic, key, change, true);
  }

  private void write(Topic topic, String key, ControlChange change, boolean removed) {
    version++;
    tables.get(topic).put(key, new Row(change, version, removed));
    if (!tellsNoChanges) {
      for (Waiting call : List.copyOf(waiting)) {
        if (call.topic() == topic) {
          respondWithChanges(call);
        }
      }
    }
  }

  /** From now on, calls that wait hear of no change, until {@link #dropHistory()}. */
  void beginGap() {
    tellsNoChanges = true;
  }

  /** Drops the history and cuts all calls that wait. */
  void dropHistory() {
    tellsNoChanges = false;
    oldestKnownVersion = version;
    for (Waiting call : List.copyOf(waiting)) {
      waiting.remove(call);
      call.client()
          .deliver(
              0, () -> call.result().completeExceptionally(new IOException("connection reset")));
    }
  }

  /** Returns a client for an instance to which messages take the given time each way. */
  Client connect(String instance, long oneWayMillis) {
    Client client = new Client(oneWayMillis);
    clients.put(instance, client);
    return client;
  }

  private void respondWithChanges(Waiting call) {
    waiting.remove(call);
    call.client()
        .respond(call.result(), changesAfter(call.topic(), call.after()), call.delayMillis());
  }

  private ControlUpdate changesAfter(Topic topic, long after) {
    return updateOf(
        tables.get(topic).values().stream().filter(row -> row.version() > after).toList());
  }

  private ControlUpdate fullList(Topic topic) {
    return updateOf(tables.get(topic).values().stream().filter(row -> !row.removed()).toList());
  }

  private ControlUpdate updateOf(List<Row> rows) {
    List<Row> inOrder = rows.stream().sorted(BY_VERSION).toList();
    return new ControlUpdate(
        0,
        version,
        inOrder.isEmpty() ? 0 : inOrder.getLast().version(),
        1 + nowMillis(),
        inOrder.stream().map(Row::change).toList());
  }

  private long nowMillis() {
    return clock.monotonicNanos() / 1_000_000L;
  }

  /** The calls of one instance. */
  final class Client implements ControlStore {

    private final long oneWayMillis;
    private final List<Call> calls = new ArrayList<>();
    private boolean silent;
    private long pausedUntilMillis;

    private Client(long oneWayMillis) {
      this.oneWayMillis = oneWayMillis;
    }

    /** Loses all requests and responses of this instance while {@code silent}. */
    void setSilent(boolean silent) {
      this.silent = silent;
    }

    /** Lets the instance read nothing for some time, as if its event loop did not run. */
    void pause(long millis) {
      pausedUntilMillis = nowMillis() + millis;
    }

    boolean isPaused() {
      return nowMillis() < pausedUntilMillis;
    }

    /** Returns how many calls for a list were lost that were made after a moment. */
    long lostCallsAfter(Topic topic, long millis) {
      return calls.stream()
          .filter(call -> call.topic() == topic && call.lost() && call.atMillis() >= millis)
          .count();
    }

    /** Returns the calls that were made after a moment. */
    List<Call> callsAfter(long millis) {
      return calls.stream().filter(call -> call.atMillis() >= millis).toList();
    }

    int callCount() {
      return calls.size();
    }

    @Override
    public CompletableFuture<ControlUpdate> read(Topic topic) {
      CompletableFuture<ControlUpdate> result = expiringAfter(RESPONSE_TIMEOUT_MILLIS);
      atStore(topic, delay -> respond(result, fullList(topic), delay));
      return result;
    }

    @Override
    public CompletableFuture<ControlUpdate> watch(Topic topic, long after, long waitMillis) {
      CompletableFuture<ControlUpdate> result =
          expiringAfter(ControlStore.watchTimeoutMillis(waitMillis));
      atStore(topic, delay -> onWatch(topic, after, waitMillis, delay, result));
      return result;
    }

    private void onWatch(
        Topic topic,
        long after,
        long waitMillis,
        long delayMillis,
        CompletableFuture<ControlUpdate> result) {
      if (after < oldestKnownVersion) {
        deliver(
            oneWayMillis,
            () -> result.completeExceptionally(ControlStoreException.historyLost("watch")));
        return;
      }
      if (waitMillis == 0 || (!tellsNoChanges && !changesAfter(topic, after).changes().isEmpty())) {
        respond(result, changesAfter(topic, after), delayMillis);
        return;
      }
      Waiting call = new Waiting(this, topic, after, delayMillis, result);
      waiting.add(call);
      loop.schedule(
          () -> {
            if (waiting.remove(call)) {
              // Until the gap ends, the store would have to name a change that it does not tell.
              if (!tellsNoChanges) {
                respond(result, changesAfter(topic, after), delayMillis);
              }
            }
          },
          waitMillis,
          TimeUnit.MILLISECONDS);
    }

    private void atStore(Topic topic, LongConsumer handling) {
      boolean lost = silent || random.nextDouble() < lossProbability;
      long delayMillis =
          random.nextDouble() < delayProbability ? random.nextLong(longestDelayMillis + 1) : 0;
      calls.add(new Call(topic, nowMillis(), lost, delayMillis));
      if (!lost) {
        loop.schedule(
            () -> {
              if (!silent) {
                handling.accept(delayMillis);
              }
            },
            oneWayMillis,
            TimeUnit.MILLISECONDS);
      }
    }

    private void respond(
        CompletableFuture<ControlUpdate> result, ControlUpdate update, long delayMillis) {
      if (!silent) {
        deliver(oneWayMillis + delayMillis, () -> result.complete(update));
      }
    }

    private CompletableFuture<ControlUpdate> expiringAfter(long millis) {
      CompletableFuture<ControlUpdate> result = new CompletableFuture<>();
      deliver(millis, () -> result.completeExceptionally(new IOException("no response")));
      return result;
    }

    /** Runs a task of the instance after a delay, or later if the instance is paused then. */
    void deliver(long delayMillis, Runnable task) {
      loop.schedule(
          () -> {
            if (isPaused()) {
              deliver(pausedUntilMillis - nowMillis(), task);
            } else {
              task.run();
            }
          },
          delayMillis,
          TimeUnit.MILLISECONDS);
    }

    @Override
    public Optional<ControlStore> through(InstanceIdentity instance) {
      return Optional.of(new Indirect(this, clients.get(instance.name())));
    }

    @Override
    public CompletableFuture<Void> register(InstanceIdentity instance) {
      put(Topic.INSTANCES, instance.name(), new ControlChange.InstanceListed(instance));
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> deregister(InstanceIdentity instance) {
      return CompletableFuture.completedFuture(null);
    }
  }

  /** Calls of an instance through another one, to which messages take as long as to the store. */
  private record Indirect(Client caller, Client other) implements ControlStore {

    @Override
    public CompletableFuture<ControlUpdate> read(Topic topic) {
      return pass(() -> other.read(topic));
    }

    @Override
    public CompletableFuture<ControlUpdate> watch(Topic topic, long after, long waitMillis) {
      return pass(() -> other.watch(topic, after, waitMillis));
    }

    private CompletableFuture<ControlUpdate> pass(Supplier<CompletableFuture<ControlUpdate>> call) {
      CompletableFuture<ControlUpdate> result = caller.expiringAfter(RESPONSE_TIMEOUT_MILLIS);
      other.deliver(caller.oneWayMillis, () -> call.get().whenComplete((u, f) -> back(u, result)));
      return result;
    }

    private void back(ControlUpdate update, CompletableFuture<ControlUpdate> result) {
      if (update != null) {
        caller.deliver(caller.oneWayMillis, () -> result.complete(update));
      }
    }

    @Override
    public CompletableFuture<Void> register(InstanceIdentity instance) {
      return CompletableFuture.failedFuture(new IOException("only lists are read indirectly"));
    }

    @Override
    public CompletableFuture<Void> deregister(InstanceIdentity instance) {
      return CompletableFuture.failedFuture(new IOException("only lists are read indirectly"));
    }
  }
}
