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
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.QuotaTolerance;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.GatewaySettings;
import org.bambooarch.gateway.spi.ControlChange;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.ControlStoreException;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.junit.jupiter.api.Test;

class ListWatcherTest {

  private static final long STEP_MILLIS = 10;

  /**
   * Longest time between two calls while the store is unreachable. An instance must reach the store
   * within three seconds after it returns; the rest of these is for connecting and the response.
   */
  private static final long MAX_CALL_GAP_MILLIS = 1_000;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ManualClock clock = ManualClock.startingAtZero();
  private final ControlState state = new ControlState(settings(), clock);
  private final FailingStore store = new FailingStore();
  private final ListWatcher watcher =
      new ListWatcher(
          Topic.SERVERS, store, state, channel.eventLoop(), RandomGenerator.of("L64X128MixRandom"));
  private long nowMillis;

  /** A store whose calls fail while {@link #failure} is set; records its calls and their times. */
  private final class FailingStore implements ControlStore {
    private final List<Long> callTimesMillis = new ArrayList<>();
    private final List<String> calls = new ArrayList<>();
    private ControlStoreException failure;
    private CompletableFuture<ControlUpdate> pending = new CompletableFuture<>();
    private ControlUpdate fullList = listOf(server("a", false), server("b", false));

    @Override
    public CompletableFuture<ControlUpdate> read(Topic topic) {
      return respond("read", CompletableFuture.completedFuture(fullList));
    }

    @Override
    public CompletableFuture<ControlUpdate> watch(Topic topic, long after, long waitMillis) {
      return respond("watch " + after, pending);
    }

    private CompletableFuture<ControlUpdate> respond(
        String call, CompletableFuture<ControlUpdate> success) {
      callTimesMillis.add(nowMillis);
      calls.add(call);
      return failure == null ? success : CompletableFuture.failedFuture(failure);
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

  private static ControlUpdate listOf(ServerEntry... servers) {
    List<ControlChange> changes = new ArrayList<>();
    for (ServerEntry server : servers) {
      changes.add(new ControlChange.ServerListed(server));
    }
    return new ControlUpdate(7, changes);
  }

  private static ServerEntry server(String id, boolean draining) {
    return new ServerEntry(id, "shop", "10.0.0.1", 80, "north-a", 4, draining, 0, 1);
  }

  private static GatewaySettings settings() {
    InetSocketAddress any = new InetSocketAddress(0);
    return new GatewaySettings(
        new InstanceIdentity("entry-1", 1, "north", "north-a", "a:1", "a:2"),
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
        6_000);
  }

  /** Advances the clock and the event loop in small steps, and runs the tasks that become due. */
  private void advance(long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      nowMillis += STEP_MILLIS;
      clock.advanceMillis(STEP_MILLIS);
      channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
      channel.runPendingTasks();
    }
  }

  private void start() {
    channel.freezeTime();
    watcher.start();
    channel.runPendingTasks();
  }

  @Test
  void should_retry_at_least_each_second_when_the_store_is_unreachable_for_long() {
    start();
    store.failure = ControlStoreException.unexpectedStatus("watch", 503);
    store.pending.completeExceptionally(store.failure);
    advance(30_000);

    assertThat(store.callTimesMillis).hasSizeGreaterThan(10);
    for (int i = 2; i < store.callTimesMillis.size(); i++) {
      assertThat(store.callTimesMillis.get(i) - store.callTimesMillis.get(i - 1))
          .isLessThanOrEqualTo(MAX_CALL_GAP_MILLIS);
    }
  }

  @Test
  void should_resume_from_its_version_when_the_store_is_reachable_again() {
    start();
    store.failure = ControlStoreException.unexpectedStatus("watch", 503);
    store.pending.completeExceptionally(store.failure);
    advance(2_000);
    store.failure = null;
    store.pending = CompletableFuture.completedFuture(listOf(server("a", true)));
    advance(2_000);

    assertThat(store.calls).filteredOn("read"::equals).hasSize(1);
    assertThat(state.servers().find("a").orElseThrow().entry().draining()).isTrue();
  }

  @Test
  void should_read_the_full_list_when_the_store_no_longer_keeps_the_changes() {
    start();
    store.fullList = listOf(server("b", false));
    CompletableFuture<ControlUpdate> firstWatch = store.pending;
    store.pending = new CompletableFuture<>();
    firstWatch.completeExceptionally(ControlStoreException.historyLost("watch"));
    advance(1_000);

    assertThat(store.calls).containsExactly("read", "watch 7", "read", "watch 7");
    assertThat(state.servers().find("a")).isEmpty();
    assertThat(state.servers().find("b")).isPresent();
  }

  @Test
  void should_keep_servers_without_entry_for_two_seconds_when_the_store_is_reachable_again() {
    start();
    store.failure = ControlStoreException.unexpectedStatus("watch", 503);
    store.pending.completeExceptionally(store.failure);
    advance(4_000);
    store.failure = null;
    store.pending = new CompletableFuture<>();
    advance(1_000);
    state.servers().onStoreReturned(clock.monotonicNanos());
    state.applyChanges(new ControlUpdate(9, List.of(new ControlChange.ServerRemoved("a"))));

    state.servers().tick(clock.monotonicNanos());
    assertThat(state.servers().find("a")).isPresent();

    advance(2_000);
    state.servers().tick(clock.monotonicNanos());
    assertThat(state.servers().find("a")).isEmpty();
  }
}
