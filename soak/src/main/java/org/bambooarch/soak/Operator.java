package org.bambooarch.soak;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.bambooarch.platform.fake.StoreServer;
import org.tinylog.Logger;

/** Changes the configuration and stops servers and instances while a run lasts. */
final class Operator {

  /** Shortest time between two actions of one kind, in milliseconds. */
  private static final int MIN_PAUSE_MILLIS = 500;

  /** Shortest time for which a server serves after it has said that it leaves. */
  private static final int LEAVING_MILLIS = 4_000;

  /** Share of the configurations that change the homes of a route or a customer. */
  private static final double HOME_MOVES_SHARE = 0.8;

  private static final int MAX_BIND_ATTEMPTS = 50;
  private static final long BIND_PAUSE_MILLIS = 200;

  /** How often each action was taken. */
  record Counts(
      LongAdder configs,
      LongAdder homesMoved,
      LongAdder serversKilled,
      LongAdder serversLeft,
      LongAdder killed,
      LongAdder terminated) {

    Counts() {
      this(
          new LongAdder(),
          new LongAdder(),
          new LongAdder(),
          new LongAdder(),
          new LongAdder(),
          new LongAdder());
    }
  }

  /** One action that is repeated. */
  private interface Action {
    void run(Random random) throws IOException, InterruptedException;
  }

  private final StoreServer store;
  private final SoakServer[] servers;
  private final InstanceGroup instances;
  private final RunClock clock;
  private final PlayedChanges changes;

  /** Servers that an action is replacing, so that no other one lists them again. */
  private final Set<Integer> claimed = ConcurrentHashMap.newKeySet();

  private final Counts counts = new Counts();

  /** Homes in the newest configuration; only the action that configures uses them. */
  private final Map<String, Set<String>> homes = PlayedDeployment.firstHomes();

  private int configVersion;

  Operator(
      StoreServer store,
      SoakServer[] servers,
      InstanceGroup instances,
      RunClock clock,
      PlayedChanges changes) {
    this.store = store;
    this.servers = servers;
    this.instances = instances;
    this.clock = clock;
    this.changes = changes;
  }

  Counts counts() {
    return counts;
  }

  /**
   * Starts all actions, each with its own random numbers.
   *
   * @param plannedOnly whether nothing is killed
   */
  void start(long seed, boolean plannedOnly) {
    Random seeds = new Random(seed);
    repeat("configure", 4_000, seeds.nextLong(), this::configure);
    repeat("leave-server", 2_500, seeds.nextLong(), this::leaveServer);
    repeat("terminate-instance", 5_000, seeds.nextLong(), random -> restart(random, false));
    repeat("watch", 500, seeds.nextLong(), random -> restartEnded());
    if (plannedOnly) {
      return;
    }
    repeat("kill-server", 700, seeds.nextLong(), this::replaceServer);
    repeat("kill-instance", 5_000, seeds.nextLong(), random -> restart(random, true));
  }

  private void repeat(String name, int pauseMillis, long seed, Action action) {
    Random random = new Random(seed);
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                while (!clock.isOver()) {
                  Thread.sleep(MIN_PAUSE_MILLIS + random.nextInt(pauseMillis));
                  tryOnce(name, action, random);
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  private static void tryOnce(String name, Action action, Random random)
      throws InterruptedException {
    try {
      action.run(random);
    } catch (IOException e) {
      Logger.error(e, "event=action-failed action={}", name);
    }
  }

  private void configure(Random random) {
    configVersion += 1 + random.nextInt(3);
    String movedTo =
        PlayedDeployment.SERVICES.get(random.nextInt(PlayedDeployment.SERVICES.size()));
    if (random.nextDouble() < HOME_MOVES_SHARE) {
      moveHome(random);
    }
    long sentNanos = System.nanoTime();
    store.put(
        "op",
        "config",
        PlayedDeployment.config(
            100 + configVersion,
            1_500 + random.nextInt(2_500),
            random.nextBoolean(),
            movedTo,
            homes));
    changes.onConfiguration(
        new PlayedChanges.Configuration(movedTo, homes, sentNanos, System.nanoTime()));
    counts.configs().increment();
  }

  /** Gives a route or a customer homes that it does not have now: one region, or both. */
  private void moveHome(Random random) {
    List<String> names = List.copyOf(homes.keySet());
    String name = names.get(random.nextInt(names.size()));
    List<Set<String>> choices = new ArrayList<>();
    for (String region : PlayedDeployment.regions()) {
      choices.add(Set.of(region));
    }
    choices.add(Set.copyOf(PlayedDeployment.regions()));
    choices.remove(homes.get(name));
    homes.put(name, choices.get(random.nextInt(choices.size())));
    counts.homesMoved().increment();
  }

  /** Kills a server, which is back at the same address, with its id or a new one. */
  private void replaceServer(Random random) throws InterruptedException, IOException {
    int index = random.nextInt(servers.length);
    if (!claimed.add(index)) {
      return;
    }
    try {
      replaceServer(index, random);
    } finally {
      claimed.remove(index);
    }
  }

  private void replaceServer(int index, Random random) throws InterruptedException, IOException {
    SoakServer old = servers[index];
    old.kill(random.nextBoolean());
    changes.onUnplanned(System.nanoTime(), System.nanoTime());
    counts.serversKilled().increment();
    boolean sameId = random.nextBoolean();
    Thread.sleep(random.nextInt(1_000));
    if (clock.isOver()) {
      return;
    }
    String id = sameId ? old.id() : "i-%08x".formatted(random.nextInt());
    if (!sameId) {
      store.delete("servers", old.id());
    }
    SoakServer started = startAgain(old, id, random);
    servers[index] = started;
    store.put("servers", id, started.row());
  }

  /**
   * Lets a server leave: it says so, or its entry is removed, and it serves for longer than the
   * bound. Another one takes its place, at another address.
   */
  private void leaveServer(Random random) throws InterruptedException, IOException {
    int index = random.nextInt(servers.length);
    if (!claimed.add(index)) {
      return;
    }
    SoakServer leaving;
    try {
      leaving = replaceLeaving(index, random);
    } finally {
      claimed.remove(index);
    }
    Thread.sleep(LEAVING_MILLIS + random.nextInt(LEAVING_MILLIS));
    leaving.close();
    store.delete("servers", leaving.id());
  }

  private SoakServer replaceLeaving(int index, Random random) throws IOException {
    SoakServer leaving = servers[index];
    if (random.nextInt(4) == 0) {
      store.delete("servers", leaving.id());
    } else {
      store.put("servers", leaving.id(), leaving.leavingRow());
    }
    changes.onLeaving(leaving.id(), System.nanoTime());
    counts.serversLeft().increment();
    SoakServer started =
        new SoakServer(
            "i-%08x".formatted(random.nextInt()),
            leaving.service(),
            leaving.zone(),
            new InetSocketAddress(leaving.address().getAddress(), 0),
            random.nextLong(),
            leaving.environment());
    servers[index] = started;
    store.put("servers", started.id(), started.row());
    return leaving;
  }

  /** Opens a server at the address of a killed one, once the system has released its port. */
  private static SoakServer startAgain(SoakServer old, String id, Random random)
      throws IOException, InterruptedException {
    for (int attempt = 1; ; attempt++) {
      try {
        return new SoakServer(
            id, old.service(), old.zone(), old.address(), random.nextLong(), old.environment());
      } catch (BindException e) {
        if (attempt == MAX_BIND_ATTEMPTS) {
          throw e;
        }
        Logger.debug("event=address-in-use server={} attempt={}", id, attempt);
        Thread.sleep(BIND_PAUSE_MILLIS);
      }
    }
  }

  private void restartEnded() throws IOException, InterruptedException {
    long beginNanos = System.nanoTime();
    if (instances.restartEnded()) {
      changes.onUnplanned(beginNanos, System.nanoTime());
    }
  }

  private void restart(Random random, boolean kill) throws IOException, InterruptedException {
    final long beginNanos = System.nanoTime();
    if (kill) {
      changes.onUnplanned(beginNanos, beginNanos);
    }
    if (instances.restart(instances.any(random), kill)) {
      (kill ? counts.killed() : counts.terminated()).increment();
      if (kill) {
        changes.onUnplanned(beginNanos, System.nanoTime());
      }
    }
  }
}
