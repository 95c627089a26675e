package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.ListStatus;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.ListAgeBounds;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.junit.jupiter.api.Test;

class StoreSynchronizerTest {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ManualClock clock = ManualClock.startingAtZero();
  private final ControlState state = new ControlState(ListWatcherTest.settings(), clock);
  private final LosingStore store = new LosingStore();
  private final StoreSynchronizer synchronizer =
      new StoreSynchronizer(
          store,
          state,
          channel.eventLoop(),
          RandomGenerator.of("L64X128MixRandom"),
          new ListAgeBounds(4_000, 4_000, 3_000),
          () -> {});

  /** Version of the lists that the store returns first. */
  private static final long READ_VERSION = 7;

  /** Time of the store's clock when the test starts. */
  private static final long STORE_START_MILLIS = 1_000;

  /** A store that loses the response to the first watch of the operators' list. */
  private static final class LosingStore implements ControlStore {
    private final List<CompletableFuture<Void>> registrations = new ArrayList<>();
    private boolean losesRegistrations;
    private int deregistrations;
    private int operatorWatches;
    private int serverWatches;

    @Override
    public CompletableFuture<ControlUpdate> read(Topic topic) {
      ControlUpdate list = ControlStateTest.configuration(7);
      return CompletableFuture.completedFuture(
          topic == Topic.OPERATOR
              ? new ControlUpdate(0, 7, 7, STORE_START_MILLIS, list.changes())
              : new ControlUpdate(0, 7, 0, STORE_START_MILLIS, List.of()));
    }

    @Override
    public CompletableFuture<ControlUpdate> watch(Topic topic, long after, long waitMillis) {
      if (topic == Topic.SERVERS) {
        serverWatches++;
      } else if (++operatorWatches == 2) {
        return CompletableFuture.completedFuture(ControlStateTest.configuration(8));
      }
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> register(InstanceIdentity instance) {
      CompletableFuture<Void> registration = new CompletableFuture<>();
      if (!losesRegistrations) {
        registration.complete(null);
      }
      registrations.add(registration);
      return registration;
    }

    @Override
    public CompletableFuture<Void> deregister(InstanceIdentity instance) {
      deregistrations++;
      return CompletableFuture.completedFuture(null);
    }
  }

  /**
   * Runs the given number of ticks, with a heartbeat before each of another instance to which the
   * store has confirmed the lists.
   */
  private void runTicks(int count, long peersConfigVersion) {
    runTicks(count, peersConfigVersion, 0, 7, 7);
  }

  private void runTicks(
      int count, long peersConfigVersion, long era, long operatorsChange, long serversChange) {
    for (int i = 0; i < count; i++) {
      runTick(peersConfigVersion, era, operatorsChange, serversChange);
    }
  }

  private void runTick(
      long peersConfigVersion, long era, long operatorsChange, long serversChange) {
    clock.advanceMillis(ControlState.TICK_MILLIS);
    long storeMillis = STORE_START_MILLIS + clock.monotonicNanos() / 1_000_000L;
    ListVersions own = state.createHeartbeat().listVersions();
    ListVersions peers =
        new ListVersions(
            era,
            status(operatorsChange, own.operators(), storeMillis),
            status(serversChange, own.servers(), storeMillis));
    state.onHeartbeat(ControlStateTest.heartbeat(peersConfigVersion, peers));
    synchronizer.tick();
    channel.advanceTimeBy(ControlState.TICK_MILLIS, TimeUnit.MILLISECONDS);
    channel.runPendingTasks();
  }

  /** Returns the status of a list, with other content than here if it has changed since. */
  private static ListStatus status(long newestChange, ListStatus own, long storeMillis) {
    boolean same = newestChange <= READ_VERSION;
    return new ListStatus(newestChange, same ? own.digest() : ~own.digest(), storeMillis);
  }

  private void start() {
    channel.freezeTime();
    synchronizer.start();
    channel.runPendingTasks();
  }

  // Regression: a change whose notice was lost stayed unknown until the watch timed out, 22 s
  // later.
  @Test
  void should_watch_again_when_another_instance_applies_a_newer_configuration() {
    start();
    runTicks(12, 8, 0, 8, 7);

    assertThat(state.config().map(SteeringConfig::version)).contains(8L);
  }

  // Regression: an instance whose watch of the servers was lost sent to leaving servers, while the
  // others knew that they were leaving.
  @Test
  void should_watch_the_servers_again_when_another_instance_knows_a_newer_change_of_them() {
    start();
    long callsBefore = store.serverWatches;
    runTicks(2, 7, 0, 7, 9);
    assertThat(store.serverWatches).isEqualTo(callsBefore);

    runTicks(2, 7, 0, 7, 9);
    assertThat(store.serverWatches).isEqualTo(callsBefore + 1);
  }

  @Test
  void should_not_watch_again_when_another_instance_knows_changes_that_were_read() {
    start();
    runTicks(100, 7, 0, 7, 7);

    assertThat(store.operatorWatches).isEqualTo(1);
    assertThat(store.serverWatches).isEqualTo(1);
  }

  @Test
  void should_watch_again_when_another_instance_knows_of_a_later_era_of_the_store() {
    start();
    runTicks(4, 7, 1, 2, 2);

    assertThat(store.serverWatches).isEqualTo(2);
  }

  @Test
  void should_make_no_further_call_while_no_other_instance_applies_a_newer_configuration() {
    start();
    runTicks(100, 7);

    assertThat(store.operatorWatches).isEqualTo(1);
  }

  @Test
  void should_make_few_calls_when_the_store_does_not_have_what_another_instance_applies() {
    start();
    runTicks(600, 9);

    assertThat(store.operatorWatches).isLessThanOrEqualTo(9);
  }

  // The class of incidents CONFIG and DRAIN: a lost response was noticed after 2.5 s only, and
  // until
  // then an instance that had started knew of no other one.
  @Test
  void should_register_again_beside_a_call_without_response() {
    store.losesRegistrations = true;
    start();
    runTicks(20, 7);
    assertThat(store.registrations).hasSizeBetween(2, 3);
    assertThat(state.fleet().isListRead()).isFalse();

    store.losesRegistrations = false;
    runTicks(20, 7);
    int registrations = store.registrations.size();
    runTicks(50, 7);
    assertThat(state.fleet().isListRead()).isTrue();
    assertThat(store.registrations).hasSize(registrations);
  }

  // An instance that is about to stop takes requests for some seconds; it went on by the lists of
  // the moment at which it was told to stop.
  @Test
  void should_follow_the_lists_when_it_has_left_the_list_of_instances() {
    start();
    synchronizer.deregister();
    runTicks(12, 8, 0, 8, 7);
    assertThat(state.config().map(SteeringConfig::version)).contains(8L);

    synchronizer.stop();
    int operatorWatches = store.operatorWatches;
    runTicks(50, 9, 0, 9, 9);
    assertThat(store.operatorWatches).isEqualTo(operatorWatches);
    assertThat(store.deregistrations).isEqualTo(1);
  }
}
