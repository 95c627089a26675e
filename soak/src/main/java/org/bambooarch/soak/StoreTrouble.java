package org.bambooarch.soak;

import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.bambooarch.platform.fake.StoreServer;

/**
 * Lets the store lose and delay responses, fall silent, turn instances away and drop its history,
 * one after another.
 */
final class StoreTrouble {

  /** What the store does. */
  enum Kind {
    /** A fifth of the responses is lost. */
    LOSSY(0.2, 0),
    /** Responses are late. */
    SLOW(0, 700),
    /** No response comes. */
    SILENT(1, 0),
    /** Waiting feeds hear of no change, then the history is dropped. */
    GAP(0, 0),
    /** A third of the instances get a refusal or no response, the others are served. */
    TURNING_AWAY(0, 0);

    private final double lossShare;
    private final long longestDelayMillis;

    Kind(double lossShare, long longestDelayMillis) {
      this.lossShare = lossShare;
      this.longestDelayMillis = longestDelayMillis;
    }
  }

  private static final int MIN_PAUSE_MILLIS = 300;
  private static final int MAX_PAUSE_MILLIS = 2_500;
  private static final int MIN_TROUBLE_MILLIS = 500;
  private static final int MAX_TROUBLE_MILLIS = 4_000;

  /** Time for which instances are turned away: longer than any bound on a change. */
  private static final int MIN_TURNING_AWAY_MILLIS = 4_000;

  private static final int MAX_TURNING_AWAY_MILLIS = 9_000;

  private static final int TURNED_AWAY_DIVISOR = 3;

  /** Statuses with which instances are turned away. */
  private static final List<Integer> REFUSALS = List.of(StoreServer.NO_RESPONSE, 429, 503);

  /** Time for which waiting feeds hear nothing before the history is dropped. */
  private static final long GAP_MILLIS = 1_000;

  private final StoreServer store;
  private final int instances;
  private final PlayedChanges changes;
  private final RunClock clock;
  private final Map<Kind, LongAdder> counts = new EnumMap<>(Kind.class);

  StoreTrouble(StoreServer store, int instances, PlayedChanges changes, RunClock clock) {
    this.store = store;
    this.instances = instances;
    this.changes = changes;
    this.clock = clock;
    for (Kind kind : Kind.values()) {
      counts.put(kind, new LongAdder());
    }
  }

  /** Returns how often each trouble was played. */
  Map<Kind, LongAdder> counts() {
    return counts;
  }

  /** Starts to play troubles of the given kinds until the end of the run. */
  void start(List<Kind> kinds, long seed) {
    Random random = new Random(seed);
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                while (!clock.isOver()) {
                  Thread.sleep(random.nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
                  play(kinds.get(random.nextInt(kinds.size())), random);
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  private void play(Kind kind, Random random) throws InterruptedException {
    counts.get(kind).increment();
    final long beginNanos = System.nanoTime();
    if (kind == Kind.GAP) {
      store.beginGap();
      Thread.sleep(GAP_MILLIS);
      store.endGap();
      changes.onUnplanned(beginNanos, System.nanoTime());
      return;
    }
    if (kind == Kind.TURNING_AWAY) {
      store.turnAway(someInstances(random), REFUSALS.get(random.nextInt(REFUSALS.size())));
      Thread.sleep(random.nextInt(MIN_TURNING_AWAY_MILLIS, MAX_TURNING_AWAY_MILLIS));
      store.turnAway(Set.of(), StoreServer.NO_RESPONSE);
      changes.onUnplanned(beginNanos, System.nanoTime());
      return;
    }
    store.setTrouble(kind.lossShare, kind.longestDelayMillis);
    Thread.sleep(random.nextInt(MIN_TROUBLE_MILLIS, MAX_TROUBLE_MILLIS));
    store.setTrouble(0, 0);
    changes.onUnplanned(beginNanos, System.nanoTime());
    if (kind == Kind.SILENT) {
      changes.onSilence(beginNanos, System.nanoTime());
    }
  }

  private Set<InetSocketAddress> someInstances(Random random) {
    int first = random.nextInt(instances);
    int count = Math.max(1, instances / TURNED_AWAY_DIVISOR);
    return IntStream.range(first, first + count)
        .mapToObj(instance -> store.address(instance % instances))
        .collect(Collectors.toSet());
  }
}
