package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
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
import org.bambooarch.gateway.ListAgeBounds;
import org.bambooarch.gateway.spi.ControlChange;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.ControlStoreException;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ListWatcherTest {

  private static final long STEP_MILLIS = 10;

  /**
   * Longest time between two calls while the store is unreachable. An instance must reach the store
   * within three seconds after it returns; the rest of these is for connecting and the response.
   */
  private static final long MAX_CALL_GAP_MILLIS = 1_000;

  /** Longest time for which the list may be outdated after a response was lost. */
  private static final long MAX_LIST_AGE_MILLIS = 3_000;

  /** Time for a connection and a response of a store that responds. */
  private static final long STORE_ROUND_TRIP_MILLIS = 100;

  private static final ListAgeBounds BOUNDS =
      new ListAgeBounds(MAX_LIST_AGE_MILLIS, MAX_LIST_AGE_MILLIS, 3_000);

  private static final ListWatcher.Listener LISTENER =
      new ListWatcher.Listener() {
        @Override
        public void onStoreHeard() {}

        @Override
        public void onConfirmed() {}
      };

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ManualClock clock = ManualClock.startingAtZero();
  private final ControlState state = new ControlState(settings(), clock);
  private final FailingStore store = new FailingStore();
  private final StoreEra era = new StoreEra(this::onNewEra);
  private final ListWatcher watcher =
      new ListWatcher(
          Topic.SERVERS,
          store,
          state,
          channel.eventLoop(),
          RandomGenerator.of("L64X128MixRandom"),
          era,
          BOUNDS,
          LISTENER);
  private long nowMillis;

  /**
   * A store whose calls fail while {@link #failure} is set, and which loses the responses to the
   * watches that begin while {@link #losesResponses} is set; records its calls and their times.
   */
  private final class FailingStore implements ControlStore {
    private final List<Long> callTimesMillis = new ArrayList<>();
    private final List<String> calls = new ArrayList<>();
    private ControlStoreException failure;
    private boolean losesResponses;
    private CompletableFuture<ControlUpdate> pending = new CompletableFuture<>();
    private ControlUpdate fullList = listOf(server("a", false), server("b", false));

    @Override
    public CompletableFuture<ControlUpdate> read(Topic topic) {
      return respond("read", CompletableFuture.completedFuture(fullList));
    }

    @Override
    public CompletableFuture<ControlUpdate> watch(Topic topic, long after, long waitMillis) {
      String call = (waitMillis == 0 ? "ask " : "watch ") + after;
      return respond(call, losesResponses ? lostAfter(waitMillis) : pending);
    }

    private CompletableFuture<ControlUpdate> lostAfter(long waitMillis) {
      CompletableFuture<ControlUpdate> lost = new CompletableFuture<>();
      channel
          .eventLoop()
          .schedule(
              () -> lost.completeExceptionally(new IOException("no response")),
              ControlStore.watchTimeoutMillis(waitMillis),
              TimeUnit.MILLISECONDS);
      return lost;
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

  private void onNewEra() {
    state.onStoreReverted();
    watcher.onNewEra();
  }

  private static ControlUpdate listOf(ServerEntry... servers) {
    return listOf(0, 7, servers);
  }

  private static ControlUpdate listOf(long storeEra, long version, ServerEntry... servers) {
    List<ControlChange> changes = new ArrayList<>();
    for (ServerEntry server : servers) {
      changes.add(new ControlChange.ServerListed(server));
    }
    return new ControlUpdate(storeEra, version, changes);
  }

  private static ServerEntry server(String id, boolean draining) {
    return new ServerEntry(id, "shop", "10.0.0.1", 80, "north-a", 4, draining, 0, 1);
  }

  static GatewaySettings settings() {
    return settings(new InstanceIdentity("entry-1", 1, "north", "north-a", "a:1", "a:2"));
  }

  static GatewaySettings settings(InstanceIdentity identity) {
    InetSocketAddress any = new InetSocketAddress(0);
    return new GatewaySettings(
        identity,
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
        BOUNDS);
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

  /** Does the same, with the watcher's ticks. */
  private void advanceWithTicks(long millis) {
    for (long passed = 0; passed < millis; passed += ControlState.TICK_MILLIS) {
      advance(ControlState.TICK_MILLIS);
      watcher.tick();
    }
    channel.runPendingTasks();
  }

  private void start() {
    channel.freezeTime();
    watcher.start();
    channel.runPendingTasks();
  }

  // Regression: a watch whose response was lost kept an instance from learning for 22.5 s that
  // servers were leaving.
  @ParameterizedTest
  @ValueSource(longs = {0, 700, 2_000, 2_900, 5_000, 9_000})
  void should_learn_of_leaving_servers_in_time_when_the_store_has_lost_responses(
      long silentMillis) {
    store.losesResponses = true;
    start();
    advanceWithTicks(silentMillis);
    store.losesResponses = false;
    store.pending.complete(listOf(0, 8, server("a", true)));
    advanceWithTicks(MAX_LIST_AGE_MILLIS - STORE_ROUND_TRIP_MILLIS);

    assertThat(state.servers().find("a").orElseThrow().entry().draining()).isTrue();
  }

  @Test
  void should_retry_at_least_each_second_when_the_store_is_unreachable_for_long() {
    start();
    store.failure = ControlStoreException.unexpectedStatus("watch", 503);
    store.pending.completeExceptionally(store.failure);
    advanceWithTicks(30_000);

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
    advanceWithTicks(2_000);
    store.failure = null;
    store.pending = CompletableFuture.completedFuture(listOf(0, 8, server("a", true)));
    advanceWithTicks(2_000);

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
    advanceWithTicks(4_000);
    store.failure = null;
    store.pending = new CompletableFuture<>();
    advanceWithTicks(1_000);
    state.servers().onStoreReturned(clock.monotonicNanos());
    state.applyChanges(new ControlUpdate(0, 9, List.of(new ControlChange.ServerRemoved("a"))));

    state.servers().tick(clock.monotonicNanos());
    assertThat(state.servers().find("a")).isPresent();

    advance(2_000);
    state.servers().tick(clock.monotonicNanos());
    assertThat(state.servers().find("a")).isEmpty();
  }

  // Incident DRAIN: after a failed call, a server without an entry got requests for 1.5 s more, as
  // if the store had been away for long enough to drop entries of servers that run.
  @Test
  void
      should_send_nothing_to_a_removed_server_when_the_store_was_away_for_less_than_entries_last() {
    start();
    store.failure = ControlStoreException.unexpectedStatus("watch", 503);
    store.pending.completeExceptionally(store.failure);
    advanceWithTicks(1_000);
    store.failure = null;
    store.pending =
        CompletableFuture.completedFuture(
            new ControlUpdate(0, 8, List.of(new ControlChange.ServerRemoved("a"))));
    advanceWithTicks(1_000);

    assertThat(state.servers().find("a")).isEmpty();
    assertThat(state.servers().find("b")).isPresent();
  }

  @Test
  void should_read_the_full_list_when_the_store_returned_from_an_older_copy() {
    start();
    CompletableFuture<ControlUpdate> firstWatch = store.pending;
    store.pending = new CompletableFuture<>();
    store.fullList = listOf(1, 9, server("a", false), server("c", false));
    // The versions of the copy have passed the known one, so the store has no reason to fail.
    firstWatch.complete(listOf(1, 8, server("c", false)));
    advance(500);

    assertThat(store.calls).containsExactly("read", "watch 7", "read", "watch 9");
    assertThat(state.servers().find("c")).isPresent();
  }

  @Test
  void should_not_wait_for_a_watch_of_the_earlier_era_when_another_list_shows_the_new_one() {
    start();
    CompletableFuture<ControlUpdate> earlierWatch = store.pending;
    store.pending = new CompletableFuture<>();
    store.fullList = listOf(1, 5, server("a", false), server("b", true));
    era.onResponse(1);
    advance(100);
    earlierWatch.complete(listOf(0, 8, server("late", false)));
    advance(500);

    assertThat(store.calls).containsExactly("read", "watch 7", "read", "watch 5");
    assertThat(state.servers().find("late")).isEmpty();
  }

  @Test
  void should_not_use_servers_that_left_when_the_store_returns_from_a_copy_that_lists_them() {
    start();
    CompletableFuture<ControlUpdate> firstWatch = store.pending;
    store.pending = new CompletableFuture<>();
    firstWatch.complete(
        new ControlUpdate(
            0,
            9,
            List.of(
                new ControlChange.ServerListed(server("a", true)),
                new ControlChange.ServerRemoved("b"))));
    advance(500);
    store.fullList = listOf(1, 7, server("a", false), server("b", false));
    store.pending.complete(listOf(1, 8));
    store.pending = new CompletableFuture<>();
    advance(3_000);

    assertThat(store.calls).filteredOn("read"::equals).hasSize(2);
    assertThat(state.servers().find("a").orElseThrow().entry().draining()).isTrue();
    assertThat(state.servers().find("b")).isEmpty();
  }

  @Test
  void should_apply_changes_that_a_check_shows_and_ignore_the_watch_in_progress() {
    start();
    CompletableFuture<ControlUpdate> silentWatch = store.pending;
    store.pending = CompletableFuture.completedFuture(listOf(0, 8, server("a", true)));
    CompletableFuture<Void> check = watcher.check();
    store.pending = new CompletableFuture<>();
    advance(500);
    silentWatch.complete(listOf(0, 8, server("a", false)));
    advance(500);

    assertThat(check).isCompleted();
    assertThat(store.calls).containsExactly("read", "watch 7", "ask 7", "watch 8");
    assertThat(state.servers().find("a").orElseThrow().entry().draining()).isTrue();
  }

  @Test
  void should_go_on_with_the_watch_in_progress_when_a_check_shows_no_change() {
    start();
    CompletableFuture<ControlUpdate> watch = store.pending;
    store.pending = CompletableFuture.completedFuture(listOf(0, 7));
    watcher.check();
    advance(500);
    watch.complete(listOf(0, 8, server("a", true)));
    advance(100);

    assertThat(store.calls).containsExactly("read", "watch 7", "ask 7");
    assertThat(state.servers().find("a").orElseThrow().entry().draining()).isTrue();
  }

  @Test
  void should_count_a_check_without_changes_when_another_call_was_made_meanwhile() {
    start();
    ListWatcher operators =
        new ListWatcher(
            Topic.OPERATOR,
            store,
            state,
            channel.eventLoop(),
            RandomGenerator.of("L64X128MixRandom"),
            era,
            BOUNDS,
            LISTENER);
    operators.start();
    advance(2_000);
    CompletableFuture<ControlUpdate> answer = new CompletableFuture<>();
    store.pending = answer;
    operators.check();
    store.pending = new CompletableFuture<>();
    advance(500);
    operators.check();
    answer.complete(listOf(0, 7));
    advance(100);

    assertThat(state.isConfigurationConfirmed()).isTrue();
  }

  @Test
  void should_make_one_call_for_all_checks_at_the_same_time() {
    start();
    store.pending = new CompletableFuture<>();
    CompletableFuture<Void> first = watcher.check();
    CompletableFuture<Void> second = watcher.check();
    store.pending.complete(listOf(0, 7));
    advance(100);

    assertThat(store.calls).containsExactly("read", "watch 7", "ask 7");
    assertThat(first).isCompleted();
    assertThat(second).isCompleted();
  }

  @Test
  void should_retry_as_after_a_lost_watch_when_a_check_fails() {
    start();
    store.failure = ControlStoreException.unexpectedStatus("watch", 503);
    CompletableFuture<Void> check = watcher.check();
    advance(100);
    assertThat(check).isCompleted();

    store.failure = null;
    store.pending = CompletableFuture.completedFuture(listOf(0, 8, server("a", true)));
    advanceWithTicks(1_000);
    assertThat(state.servers().find("a").orElseThrow().entry().draining()).isTrue();
  }

  @Test
  void should_keep_data_centres_closed_for_five_seconds_when_the_copy_does_not_list_them() {
    state.replaceList(
        Topic.OPERATOR,
        new ControlUpdate(0, 7, List.of(new ControlChange.DataCentreClosed("north-a"))));
    state.onStoreReverted();
    state.replaceList(Topic.OPERATOR, new ControlUpdate(1, 5, List.of()));
    assertThat(state.servers().evacuatedDataCentres()).containsExactly("north-a");

    clock.advanceMillis(5_000);
    state.tick();
    assertThat(state.servers().evacuatedDataCentres()).isEmpty();
  }

  @Test
  void should_leave_data_centres_closed_when_operators_write_it_again_after_the_stores_return() {
    ControlUpdate closed =
        new ControlUpdate(1, 7, List.of(new ControlChange.DataCentreClosed("north-a")));
    state.replaceList(Topic.OPERATOR, closed);
    state.onStoreReverted();
    state.replaceList(Topic.OPERATOR, new ControlUpdate(1, 5, List.of()));
    state.applyChanges(closed);

    clock.advanceMillis(6_000);
    state.tick();
    assertThat(state.servers().evacuatedDataCentres()).containsExactly("north-a");
  }
}
