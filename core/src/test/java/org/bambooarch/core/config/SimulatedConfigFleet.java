package org.bambooarch.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.bambooarch.core.peer.PeerMessage;
import org.bambooarch.core.time.Clock;

/** Ten instances in three regions, joined by a queue of messages, and a table that can fail. */
final class SimulatedConfigFleet {

  static final long NANOS_PER_MILLI = 1_000_000L;
  static final Set<String> STORE_REGION_DATA_CENTRES = Set.of("kochi-a", "kochi-b");
  private static final List<String> DATA_CENTRES =
      List.of("kochi-a", "kochi-b", "tvm-a", "tvm-b", "kozhikode-a", "kozhikode-b");
  private static final int INSTANCES = 10;
  private static final int TICK_MILLIS = 50;

  enum StoreMode {
    UP,
    SLOW,
    REFUSING,
    HANGING
  }

  private record Event(long atMillis, long order, Node node, Runnable action) {}

  /** One instance; its clock has an origin of its own. */
  final class Node implements Clock {
    final String name;
    final String dataCentre;
    final long originNanos = random.nextLong();
    ConfigReplicator replicator;
    long pausedUntilMillis;
    long lastVersion;

    Node(String name, String dataCentre) {
      this.name = name;
      this.dataCentre = dataCentre;
      restart();
    }

    void restart() {
      ReplicationSettings usual = ReplicationSettings.of(name, dataCentre);
      replicator =
          new ConfigReplicator(
              withKeyFreshness(usual, keyFreshnessNanos),
              new KeysOnlyConfigCodec(),
              (to, message) -> send(this, to, message),
              this,
              new Random(random.nextLong()));
      replicator.updateMembers(members(), STORE_REGION_DATA_CENTRES);
      lastVersion = 0;
    }

    boolean isPaused() {
      return nowMillis < pausedUntilMillis;
    }

    boolean accepts(String digest) {
      IssuedKey key = replicator.state().keysByDigest().get(digest);
      return areKeysFresh() && key != null && !key.withdrawn();
    }

    boolean areKeysFresh() {
      return replicator.keysFreshUntilNanos().isPresent()
          && monotonicNanos() - replicator.keysFreshUntilNanos().getAsLong() < 0;
    }

    @Override
    public long monotonicNanos() {
      return originNanos + nowMillis * NANOS_PER_MILLI;
    }

    @Override
    public long wallMillis() {
      return nowMillis;
    }
  }

  final Random random;
  final List<Node> nodes = new ArrayList<>();
  final List<LoggedChange> committed = new ArrayList<>();
  StoreMode storeMode = StoreMode.UP;
  String isolatedPrefix = "";
  double lossRate;
  long nowMillis;
  private final long keyFreshnessNanos;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparing(Event::order));
  private long nextOrder;

  SimulatedConfigFleet(long seed, long keyFreshnessNanos) {
    this.random = new Random(seed);
    this.keyFreshnessNanos = keyFreshnessNanos;
    for (int index = 0; index < INSTANCES; index++) {
      String dataCentre = DATA_CENTRES.get(index % DATA_CENTRES.size());
      nodes.add(new Node("instance-" + index, dataCentre));
    }
    nodes.forEach(node -> node.replicator.updateMembers(members(), STORE_REGION_DATA_CENTRES));
  }

  private static ReplicationSettings withKeyFreshness(
      ReplicationSettings usual, long keyFreshnessNanos) {
    return new ReplicationSettings(
        usual.instance(),
        usual.dataCentre(),
        usual.readersPerDataCentre(),
        usual.pollIntervalNanos(),
        usual.probeIntervalNanos(),
        usual.pullIntervalNanos(),
        usual.readerTimeoutNanos(),
        usual.staleAfterNanos(),
        usual.readTimeoutNanos(),
        keyFreshnessNanos,
        usual.requiredAttesters());
  }

  private List<ReplicationMember> members() {
    return nodes.stream().map(node -> new ReplicationMember(node.name, node.dataCentre)).toList();
  }

  private boolean isIsolated(String dataCentre) {
    return !isolatedPrefix.isEmpty() && dataCentre.startsWith(isolatedPrefix);
  }

  private void schedule(long delayMillis, Node node, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, nextOrder++, node, action));
  }

  private void send(Node from, String to, PeerMessage message) {
    Node target = nodes.stream().filter(node -> node.name.equals(to)).findFirst().orElseThrow();
    if (isIsolated(from.dataCentre) != isIsolated(target.dataCentre)
        || random.nextDouble() < lossRate) {
      return;
    }
    int copies = random.nextDouble() < lossRate ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      long delayMillis = 1 + random.nextInt(random.nextDouble() < lossRate ? 3_000 : 80);
      schedule(
          delayMillis, target, () -> target.replicator.receive(from.name, (ConfigMessage) message));
    }
  }

  private void read(Node node, StoreRead read) {
    ConfigReplicator process = node.replicator;
    boolean refused = storeMode == StoreMode.REFUSING;
    if (storeMode == StoreMode.HANGING || isIsolated(node.dataCentre)) {
      schedule(6_000, node, () -> process.onStoreReadFailed(read));
      return;
    }
    if (refused || random.nextDouble() < lossRate) {
      schedule(2, node, () -> process.onStoreReadFailed(read));
      return;
    }
    int latencyMillis =
        storeMode == StoreMode.SLOW ? 200 + random.nextInt(1_000) : 2 + random.nextInt(60);
    // The table is read half-way; what is accepted after that is not in the answer.
    schedule(latencyMillis / 2, null, () -> answer(node, process, read, latencyMillis / 2));
  }

  private void answer(Node node, ConfigReplicator process, StoreRead read, long delayMillis) {
    List<LoggedChange> after =
        List.copyOf(committed.subList((int) read.afterVersion(), committed.size()));
    StoreReadResult answer = new StoreReadResult(committed.size(), Optional.empty(), after);
    schedule(delayMillis, node, () -> process.onStoreRead(read, answer));
  }

  /** Commits a change if the table takes it; an operator's tool hands it over if told so. */
  Optional<LoggedChange> commit(boolean withdraw, String digest, boolean announced) {
    if (storeMode == StoreMode.REFUSING || storeMode == StoreMode.HANGING) {
      return Optional.empty();
    }
    long version = committed.size() + 1L;
    LoggedChange change =
        withdraw
            ? KeysOnlyConfigCodec.withdraw(version, digest)
            : KeysOnlyConfigCodec.issue(version, digest);
    committed.add(change);
    if (announced) {
      Node receiver = nodes.get(random.nextInt(2));
      schedule(20, receiver, () -> receiver.replicator.announce(change));
    }
    return Optional.of(change);
  }

  /** Moves time forward by one tick. */
  void tick() {
    long untilMillis = nowMillis + TICK_MILLIS;
    while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
      Event event = events.poll();
      nowMillis = Math.max(nowMillis, event.atMillis());
      if (event.node() != null && event.node().isPaused()) {
        events.add(
            new Event(event.node().pausedUntilMillis, event.order(), event.node(), event.action()));
        continue;
      }
      event.action().run();
    }
    nowMillis = untilMillis;
    for (Node node : nodes) {
      if (!node.isPaused()) {
        node.replicator.tick().ifPresent(read -> read(node, read));
      }
    }
  }
}
