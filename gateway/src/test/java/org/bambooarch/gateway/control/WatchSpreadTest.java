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
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WatchSpreadTest {

  private static final long MAX_LIST_AGE_MILLIS = 3_000;

  /** Time for noticing that a response was lost, and for connecting and reading again. */
  private static final long RECOVERY_MILLIS = 600 + ControlStore.WATCH_RESPONSE_TIMEOUT_MILLIS;

  /** A store with one change, after which nothing happens. */
  private static final class QuietStore implements ControlStore {
    private final List<Long> waitsMillis = new ArrayList<>();

    @Override
    public CompletableFuture<ControlUpdate> read(Topic topic) {
      return CompletableFuture.completedFuture(new ControlUpdate(0, 7, List.of()));
    }

    @Override
    public CompletableFuture<ControlUpdate> watch(Topic topic, long after, long waitMillis) {
      waitsMillis.add(waitMillis);
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

  private static Heartbeat heartbeat(int number) {
    return new Heartbeat(
        instance(number),
        true,
        false,
        0,
        ListVersions.NONE,
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        List.of());
  }

  /** Returns how long the watch waits that an instance begins after it has read a change. */
  private static long waitAfterChangeMillis(int number, int instances, RandomGenerator random) {
    ControlState state = new ControlState(settings(number), ManualClock.startingAtZero());
    for (int other = 0; other < instances; other++) {
      if (other != number) {
        state.onHeartbeat(heartbeat(other));
      }
    }
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.freezeTime();
    QuietStore store = new QuietStore();
    new ListWatcher(
            Topic.OPERATOR,
            store,
            state,
            channel.eventLoop(),
            random,
            new StoreEra(() -> {}),
            MAX_LIST_AGE_MILLIS)
        .start();
    channel.runPendingTasks();
    channel.advanceTimeBy(1, TimeUnit.SECONDS);
    channel.runPendingTasks();
    return store.waitsMillis.getLast();
  }

  // Incident brenta-lb: all instances began their watches after the same change, and the store went
  // silent before the first of them ended.
  @ParameterizedTest
  @CsvSource({"1,1", "2,2", "3,3", "11,4", "11,5", "54,6", "200,7"})
  void should_end_one_watch_in_time_when_all_instances_begin_theirs_after_the_same_change(
      int instances, long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    List<Long> waitsMillis = new ArrayList<>();
    for (int number = 0; number < instances; number++) {
      waitsMillis.add(waitAfterChangeMillis(number, instances, random));
    }

    assertThat(waitsMillis)
        .anyMatch(waitMillis -> waitMillis + RECOVERY_MILLIS <= MAX_LIST_AGE_MILLIS);
  }
}
