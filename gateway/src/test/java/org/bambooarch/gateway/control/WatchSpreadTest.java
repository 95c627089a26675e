package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.bambooarch.core.steering.fleet.QuotaTolerance;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.GatewaySettings;
import org.bambooarch.gateway.spi.ControlChange;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.ControlStoreException;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WatchSpreadTest {

  private static final long MAX_LIST_AGE_MILLIS = 3_000;

  /** Time for noticing that a response was lost, and for connecting and reading again. */
  private static final long RECOVERY_MILLIS = 600 + ControlStore.WATCH_RESPONSE_TIMEOUT_MILLIS;

  /** A store whose first watch shows a change or fails, and after which nothing happens. */
  private static final class QuietStore implements ControlStore {
    private final List<Long> waitsMillis = new ArrayList<>();
    private final boolean firstWatchFails;

    QuietStore(boolean firstWatchFails) {
      this.firstWatchFails = firstWatchFails;
    }

    @Override
    public CompletableFuture<ControlUpdate> read(Topic topic) {
      return CompletableFuture.completedFuture(new ControlUpdate(0, 7, List.of()));
    }

    @Override
    public CompletableFuture<ControlUpdate> watch(Topic topic, long after, long waitMillis) {
      waitsMillis.add(waitMillis);
      if (firstWatchFails && waitsMillis.size() == 1) {
        return CompletableFuture.failedFuture(ControlStoreException.unexpectedStatus("watch", 503));
      }
      if (firstWatchFails) {
        return waitMillis == 0
            ? CompletableFuture.completedFuture(new ControlUpdate(0, 7, List.of()))
            : new CompletableFuture<>();
      }
      return after > 7
          ? new CompletableFuture<>()
          : CompletableFuture.completedFuture(
              new ControlUpdate(0, 8, List.of(new ControlChange.DataCentreClosed("north-b"))));
    }

    @Override
    public CompletableFuture<Void> register(InstanceIdentity instance) {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> deregister(InstanceIdentity instance) {
      return CompletableFuture.completedFuture(null);
    }
  }

  private static InstanceIdentity instance(int number) {
    return new InstanceIdentity(
        "entry-%03d".formatted(number), 1, "north", "north-a", "a:1", "a:2");
  }

  private static GatewaySettings settings(int number) {
    InetSocketAddress any = new InetSocketAddress(0);
    return new GatewaySettings(
        instance(number),
        any,
        any,
        any,
        any,
        any,
        Map.of("north-a", "north"),
        0.2,
        60,
        new QuotaTolerance(5, 0.1, 20),
        2_000,
        6_000,
        MAX_LIST_AGE_MILLIS);
  }

  private static Heartbeat heartbeat(int number, boolean takesCallers) {
    return new Heartbeat(
        instance(number),
        takesCallers,
        false,
        0,
        ListVersions.NONE,
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        List.of());
  }

  /**
   * Returns how long the watch waits that an instance begins after the store has shown a change or
   * has returned.
   *
   * @param stopping number of instances, the first ones, that are stopping
   */
  private static long waitMillis(
      int number, int instances, int stopping, QuietStore store, RandomGenerator random) {
    ControlState state = new ControlState(settings(number), ManualClock.startingAtZero());
    for (int other = 0; other < instances; other++) {
      if (other != number) {
        state.onHeartbeat(heartbeat(other, other >= stopping));
      }
    }
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.freezeTime();
    new ListWatcher(
            Topic.OPERATOR,
            store,
            state,
            channel.eventLoop(),
            random,
            new StoreEra(() -> {}),
            MAX_LIST_AGE_MILLIS)
        .start();
    for (int step = 0; step < 100; step++) {
      channel.runPendingTasks();
      channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
    }
    assertThat(store.waitsMillis.getLast()).isPositive();
    return store.waitsMillis.getLast();
  }

  private static void assertThatOneEndsInTime(
      int instances, int stopping, boolean firstWatchFails, long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    List<Long> waitsMillis = new ArrayList<>();
    for (int number = stopping; number < instances; number++) {
      QuietStore store = new QuietStore(firstWatchFails);
      waitsMillis.add(waitMillis(number, instances, stopping, store, random));
    }

    assertThat(waitsMillis)
        .anyMatch(waitMillis -> waitMillis + RECOVERY_MILLIS <= MAX_LIST_AGE_MILLIS);
  }

  // Incident brenta-lb: all instances began their watches after the same change, and the store went
  // silent before the first of them ended.
  @ParameterizedTest
  @CsvSource({"1,1", "2,2", "3,3", "11,4", "11,5", "54,6", "200,7"})
  void should_end_one_watch_in_time_when_all_instances_begin_theirs_after_the_same_change(
      int instances, long seed) {
    assertThatOneEndsInTime(instances, 0, false, seed);
  }

  // The same when they begin their watches after the same outage of the store.
  @ParameterizedTest
  @CsvSource({"1,1", "2,2", "3,3", "11,4", "11,5", "54,6", "200,7"})
  void should_end_one_watch_in_time_when_all_instances_begin_theirs_after_the_stores_return(
      int instances, long seed) {
    assertThatOneEndsInTime(instances, 0, true, seed);
  }

  // The same when instances stop, which send heartbeats but no longer watch.
  @ParameterizedTest
  @CsvSource({"3,1", "11,2", "11,3"})
  void should_end_one_watch_in_time_when_the_first_instances_are_stopping(
      int instances, long seed) {
    assertThatOneEndsInTime(instances, 2, false, seed);
  }
}
