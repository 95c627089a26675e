package org.bambooarch.gateway.control;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.bambooarch.core.steering.fleet.FleetTable;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.ListAgeBounds;
import org.bambooarch.gateway.spi.ControlChange;
import org.bambooarch.gateway.spi.Topic;

/**
 * One seeded run of a fleet whose calls to the store are lost, late and silent in random
 * combinations, while operators write configurations and servers leave.
 *
 * <p>At each step, each instance that would serve a request is asked by which configuration and to
 * which servers. What it lacks counts from the store's acknowledgement. A lack is allowed as long
 * as the store was silent for the instance in the last {@link #CONTACT_MILLIS}, or while at least
 * {@link #EXCUSING_LOSSES} of its calls since then were lost.
 */
final class ListAgeRun {

  /** Longest time from the acknowledgement of a change until it is in force, in milliseconds. */
  static final long BOUND_MILLIS = 2_000;

  /** Time after a silence of the store from which on the bound holds again, in milliseconds. */
  static final long CONTACT_MILLIS = 3_000;

  /**
   * Lost calls in a row after which an instance cannot be expected to know a change. An instance
   * that asks on several connections in time gets by with fewer.
   */
  static final long EXCUSING_LOSSES = 4;

  private static final ListAgeBounds BOUNDS = new ListAgeBounds(BOUND_MILLIS, BOUND_MILLIS, 3_000);

  private static final long STEP_MILLIS = 10;
  private static final long RUN_MILLIS = 25_000;
  private static final int SERVERS = 6;

  /** What the run has seen. */
  record Result(
      long oldestConfigurationMillis, long oldestLeavingMillis, long calls, List<String> faults) {}

  private final long seed;
  private final RandomGenerator random;
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ManualClock clock = ManualClock.startingAtZero();
  private final SimulatedStore store;
  private final List<Instance> instances = new ArrayList<>();
  private final TreeMap<Long, Long> configurationAckMillis = new TreeMap<>();
  private final Map<String, Long> leavingAckMillis = new TreeMap<>();
  private final List<String> faults = new ArrayList<>();
  private final List<String> listedServers = new ArrayList<>();
  private long nowMillis;
  private long configurationVersion;
  private int serverCount;
  private long oldestConfigurationMillis;
  private long oldestLeavingMillis;
  private double heartbeatLossProbability;

  private final class Instance {
    private final String name;
    private final SimulatedStore.Client client;
    private final long phaseMillis;
    private ControlState state;
    private StoreSynchronizer synchronizer;
    private long incarnation;
    private long lastHeartbeatMillis;
    private long restartAtMillis = -1;
    private long silentUntilMillis = Long.MIN_VALUE / 2;
    private long startedMillis;

    Instance(int number) {
      this.name = "entry-" + number;
      this.client = store.connect(name, 1 + random.nextLong(60));
      this.phaseMillis = random.nextLong(ControlState.TICK_MILLIS / STEP_MILLIS) * STEP_MILLIS;
      start();
    }

    void start() {
      incarnation++;
      startedMillis = nowMillis;
      restartAtMillis = -1;
      state =
          new ControlState(
              ListWatcherTest.settings(
                  new InstanceIdentity(name, incarnation, "north", "north-a", "a:1", "a:2")),
              clock);
      synchronizer =
          new StoreSynchronizer(
              client, state, channel.eventLoop(), random, BOUNDS, this::heartbeat);
      synchronizer.start();
    }

    void tick() {
      if (restartAtMillis >= 0) {
        if (nowMillis >= restartAtMillis) {
          start();
        }
        return;
      }
      if (client.isPaused() || nowMillis % ControlState.TICK_MILLIS != phaseMillis) {
        return;
      }
      state.tick();
      synchronizer.tick();
      if (nowMillis - lastHeartbeatMillis >= FleetTable.HEARTBEAT_NANOS / 1_000_000L) {
        heartbeat();
      }
    }

    void heartbeat() {
      lastHeartbeatMillis = nowMillis;
      Heartbeat heartbeat = state.createHeartbeat();
      for (Instance other : instances) {
        if (other != this && random.nextDouble() >= heartbeatLossProbability) {
          other.client.deliver(1 + random.nextLong(60), () -> other.receive(heartbeat));
        }
      }
    }

    private void receive(Heartbeat heartbeat) {
      if (restartAtMillis < 0) {
        state.onHeartbeat(heartbeat);
      }
    }

    void fallSilent(long millis) {
      client.setSilent(true);
      silentUntilMillis = nowMillis + millis;
    }

    void kill() {
      synchronizer.stop();
      restartAtMillis = nowMillis + 500 + random.nextLong(1_500);
    }

    private boolean isJudged() {
      boolean inTouch = nowMillis - silentUntilMillis >= CONTACT_MILLIS;
      boolean calm = nowMillis - startedMillis >= CONTACT_MILLIS;
      return inTouch && calm && restartAtMillis < 0 && state.isReady();
    }

    void check() {
      if (nowMillis >= silentUntilMillis) {
        client.setSilent(false);
      }
      if (!isJudged()) {
        return;
      }
      checkConfiguration();
      checkServers();
    }

    private void checkConfiguration() {
      if (state.isConfigurationOverdue()) {
        // It refuses requests.
        return;
      }
      long known = state.config().orElseThrow().version();
      Map.Entry<Long, Long> missed = configurationAckMillis.higherEntry(known);
      if (missed == null) {
        return;
      }
      long ageMillis = nowMillis - missed.getValue();
      if (isExcused(Topic.OPERATOR, missed.getValue())) {
        return;
      }
      oldestConfigurationMillis = Math.max(oldestConfigurationMillis, ageMillis);
      if (ageMillis > BOUND_MILLIS) {
        fault("configuration %d lacks %d".formatted(known, missed.getKey()), ageMillis);
      }
    }

    private void checkServers() {
      leavingAckMillis.forEach(
          (server, ackMillis) -> {
            if (state.servers().findAvailable(server).isEmpty()
                || isExcused(Topic.SERVERS, ackMillis)) {
              return;
            }
            long ageMillis = nowMillis - ackMillis;
            oldestLeavingMillis = Math.max(oldestLeavingMillis, ageMillis);
            if (ageMillis > BOUND_MILLIS) {
              fault("sends to leaving " + server, ageMillis);
            }
          });
    }

    private boolean isExcused(Topic topic, long ackMillis) {
      long sinceMillis = Math.max(ackMillis, silentUntilMillis);
      return client.lostCallsAfter(topic, sinceMillis) >= EXCUSING_LOSSES;
    }

    private void fault(String what, long ageMillis) {
      faults.add(
          "seed %d at %d ms: %s %s, acknowledged %d ms before, calls %s"
              .formatted(
                  seed,
                  nowMillis,
                  name,
                  what,
                  ageMillis,
                  client.callsAfter(nowMillis - CONTACT_MILLIS)));
    }
  }

  ListAgeRun(long seed) {
    this.seed = seed;
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    channel.freezeTime();
    this.store = new SimulatedStore(channel.eventLoop(), clock, random);
  }

  /** Plays the run; ends at the first fault. */
  Result play() {
    writeConfiguration();
    for (int i = 0; i < SERVERS; i++) {
      listServer();
    }
    int size = 1 + random.nextInt(10);
    for (int i = 0; i < size; i++) {
      instances.add(new Instance(i));
    }
    while (nowMillis < RUN_MILLIS && faults.isEmpty()) {
      step();
    }
    instances.forEach(instance -> instance.synchronizer.stop());
    long calls = instances.stream().mapToLong(instance -> instance.client.callCount()).sum();
    return new Result(oldestConfigurationMillis, oldestLeavingMillis, calls, faults);
  }

  private void step() {
    nowMillis += STEP_MILLIS;
    clock.advanceMillis(STEP_MILLIS);
    channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
    channel.runPendingTasks();
    instances.forEach(Instance::tick);
    channel.runPendingTasks();
    if (nowMillis > CONTACT_MILLIS) {
      disturb();
      instances.forEach(Instance::check);
    }
  }

  private boolean happens(double perSecond) {
    return random.nextDouble() < perSecond * STEP_MILLIS / 1_000.0;
  }

  private Instance anyInstance() {
    return instances.get(random.nextInt(instances.size()));
  }

  private void disturb() {
    if (happens(0.7)) {
      writeConfiguration();
    }
    if (happens(0.5)) {
      leave();
    }
    if (happens(0.3)) {
      store.setTrouble(random.nextDouble(0.5), random.nextDouble(), 100 + random.nextLong(1_000));
    }
    if (happens(0.1)) {
      heartbeatLossProbability = random.nextDouble(0.3);
    }
    if (happens(0.1)) {
      playGap();
    }
    if (happens(0.1)) {
      long millis = 200 + random.nextLong(3_000);
      if (random.nextBoolean()) {
        instances.forEach(instance -> instance.fallSilent(millis));
      } else {
        anyInstance().fallSilent(millis);
      }
    }
    if (happens(0.3)) {
      anyInstance().client.pause(random.nextLong(400));
    }
    if (happens(0.1)) {
      anyInstance().kill();
    }
  }

  /** The changes of a second stay untold, then the history is dropped. */
  private void playGap() {
    store.beginGap();
    writeConfiguration();
    leave();
    channel.eventLoop().schedule(store::dropHistory, 1_000, TimeUnit.MILLISECONDS);
  }

  private void writeConfiguration() {
    configurationVersion++;
    store.putConfiguration(configurationVersion);
    configurationAckMillis.put(configurationVersion, nowMillis);
  }

  private void listServer() {
    String id = "server-" + serverCount++;
    listedServers.add(id);
    store.put(Topic.SERVERS, id, new ControlChange.ServerListed(server(id, false)));
  }

  private static ServerEntry server(String id, boolean draining) {
    return new ServerEntry(id, "shop", "10.0.0.1", 80, "north-a", 4, draining, 0, 1);
  }

  /** A server leaves, with or without saying so first, and another one takes its place. */
  private void leave() {
    String id = listedServers.removeFirst();
    if (random.nextInt(4) == 0) {
      store.remove(Topic.SERVERS, id, new ControlChange.ServerRemoved(id));
    } else {
      store.put(Topic.SERVERS, id, new ControlChange.ServerListed(server(id, true)));
    }
    leavingAckMillis.put(id, nowMillis);
    listServer();
  }
}
