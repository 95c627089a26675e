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
final class FakeFleet {

  static final long NANOS_PER_MILLI = 1_000_000L;
  static final Set<String> BESIDE_STORE = Set.of("kochi-a", "kochi-b");
  private static final List<String> DATA_CENTRES =
      List.of("kochi-a", "kochi-b", "tvm-a", "tvm-b", "kozhikode-a", "kozhikode-b");
  private static final int INSTANCES = 10;
  private static final int TICK_MILLIS = 50;

  enum Store {
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
    ConfigSpread spread;
    long pausedUntilMillis;
    long lastVersion;

    Node(String name, String dataCentre) {
      this.name = name;
      this.dataCentre = dataCentre;
      restart();
    }

    void restart() {
      SpreadSettings usual = SpreadSettings.of(name, dataCentre);
      spread =
          new ConfigSpread(
              withKeyFreshness(usual, keyFreshnessNanos),
              new PlainConfigText(),
              (to, message) -> send(this, to, message),
              this,
              new Random(random.nextLong()));
      spread.updateMembers(members(), BESIDE_STORE);
      lastVersion = 0;
    }

    boolean isPaused() {
      return nowMillis < pausedUntilMillis;
    }

    boolean accepts(String digest) {
      IssuedKey key = spread.state().keysByDigest().get(digest);
      return areKeysFresh() && key != null && !key.withdrawn();
    }

    boolean areKeysFresh() {
      return spread.keysFreshUntilNanos().isPresent()
          && monotonicNanos() - spread.keysFreshUntilNanos().getAsLong() < 0;
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
  final List<LoggedChange> accepted = new ArrayList<>();
  Store store = Store.UP;
  String cutOff = "";
  double lossRate;
  long nowMillis;
  private final long keyFreshnessNanos;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparing(Event::order));
  private long nextOrder;

  FakeFleet(long seed, long keyFreshnessNanos) {
    this.random = new Random(seed);
    this.keyFreshnessNanos = keyFreshnessNanos;
    for (int index = 0; index < INSTANCES; index++) {
      String dataCentre = DATA_CENTRES.get(index % DATA_CENTRES.size());
      nodes.add(new Node("instance-" + index, dataCentre));
    }
    nodes.forEach(node -> node.spread.updateMembers(members(), BESIDE_STORE));
  }

  private static SpreadSettings withKeyFreshness(SpreadSettings usual, long keyFreshnessNanos) {
    return new SpreadSettings(
        usual.instance(),
        usual.dataCentre(),
        usual.readersPerDataCentre(),
        usual.pollIntervalNanos(),
        usual.probeIntervalNanos(),
        usual.pullIntervalNanos(),
        usual.readerSilenceNanos(),
        usual.staleEvidenceNanos(),
        usual.readStallNanos(),
        keyFreshnessNanos,
        usual.attestersNeeded());
  }

  private List<SpreadMember> members() {
    return nodes.stream().map(node -> new SpreadMember(node.name, node.dataCentre)).toList();
  }

  private boolean isCut(String dataCentre) {
    return !cutOff.isEmpty() && dataCentre.startsWith(cutOff);
  }

  private void later(long delayMillis, Node node, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, nextOrder++, node, action));
  }

  private void send(Node from, String to, PeerMessage message) {
    Node target = nodes.stream().filter(node -> node.name.equals(to)).findFirst().orElseThrow();
    if (isCut(from.dataCentre) != isCut(target.dataCentre) || random.nextDouble() < lossRate) {
      return;
    }
    int copies = random.nextDouble() < lossRate ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      long delayMillis = 1 + random.nextInt(random.nextDouble() < lossRate ? 3_000 : 80);
      later(delayMillis, target, () -> target.spread.receive(from.name, (ConfigMessage) message));
    }
  }

  private void read(Node node, StoreRead read) {
    ConfigSpread process = node.spread;
    boolean refused = store == Store.REFUSING;
    if (store == Store.HANGING || isCut(node.dataCentre)) {
      later(6_000, node, () -> process.storeFailed(read));
      return;
    }
    if (refused || random.nextDouble() < lossRate) {
      later(2, node, () -> process.storeFailed(read));
      return;
    }
    int latencyMillis = store == Store.SLOW ? 200 + random.nextInt(1_000) : 2 + random.nextInt(60);
    // The table is read half-way; what is accepted after that is not in the answer.
    later(latencyMillis / 2, null, () -> answer(node, process, read, latencyMillis / 2));
  }

  private void answer(Node node, ConfigSpread process, StoreRead read, long delayMillis) {
    List<LoggedChange> after =
        List.copyOf(accepted.subList((int) read.afterVersion(), accepted.size()));
    StoreAnswer answer = new StoreAnswer(accepted.size(), Optional.empty(), after);
    later(delayMillis, node, () -> process.storeAnswered(read, answer));
  }

  /** Commits a change if the table takes it; an operator's tool hands it over if told so. */
  Optional<LoggedChange> commit(boolean withdraw, String digest, boolean announced) {
    if (store == Store.REFUSING || store == Store.HANGING) {
      return Optional.empty();
    }
    long version = accepted.size() + 1L;
    LoggedChange change =
        withdraw
            ? PlainConfigText.withdraw(version, digest)
            : PlainConfigText.issue(version, digest);
    accepted.add(change);
    if (announced) {
      Node receiver = nodes.get(random.nextInt(2));
      later(20, receiver, () -> receiver.spread.announce(change));
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
        node.spread.tick().ifPresent(read -> read(node, read));
      }
    }
  }
}
