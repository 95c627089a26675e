package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
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
import org.junit.jupiter.api.Test;

class TurnedAwayInstanceTest {

  /** Longest time from the acknowledgement of a change until it is in force, in milliseconds. */
  private static final long BOUND_MILLIS = 2_000;

  private static final ListAgeBounds BOUNDS = new ListAgeBounds(BOUND_MILLIS, BOUND_MILLIS, 3_000);

  private static final long STEP_MILLIS = 10;

  private static final int INSTANCES = 3;

  private final RandomGenerator random =
      RandomGeneratorFactory.of("L64X128MixRandom").create(INSTANCES);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ManualClock clock = ManualClock.startingAtZero();
  private final SimulatedStore store;
  private final List<Instance> instances = new ArrayList<>();
  private long nowMillis;

  /** An instance with the real control state, whose heartbeats reach all others. */
  private final class Instance {
    private final SimulatedStore.Client client;
    private final ControlState state;
    private final StoreSynchronizer synchronizer;
    private long lastHeartbeatMillis;

    Instance(String name) {
      client = store.connect(name, 5);
      state =
          new ControlState(
              ListWatcherTest.settings(
                  new InstanceIdentity(name, 1, "north", "north-a", "a:1", "a:2")),
              clock);
      synchronizer =
          new StoreSynchronizer(
              client, state, channel.eventLoop(), random, BOUNDS, this::sendHeartbeat);
      synchronizer.start();
    }

    void tick() {
      state.tick();
      synchronizer.tick();
      if (nowMillis - lastHeartbeatMillis >= FleetTable.HEARTBEAT_NANOS / 1_000_000L) {
        sendHeartbeat();
      }
    }

    private void sendHeartbeat() {
      lastHeartbeatMillis = nowMillis;
      Heartbeat heartbeat = state.createHeartbeat();
      for (Instance other : instances) {
        if (other != this) {
          other.client.deliver(20, () -> other.state.onHeartbeat(heartbeat));
        }
      }
    }

    long configurationVersion() {
      return state.config().orElseThrow().version();
    }
  }

  TurnedAwayInstanceTest() {
    channel.freezeTime();
    store = new SimulatedStore(channel.eventLoop(), clock, random);
    store.putConfiguration(1);
    store.put(
        Topic.SERVERS,
        "server-1",
        new ControlChange.ServerListed(
            new ServerEntry("server-1", "shop", "10.0.0.1", 80, "north-a", 4, false, 0, 1)));
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(new Instance("entry-" + i));
    }
  }

  private void passMillis(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; ) {
      nowMillis += STEP_MILLIS;
      clock.advanceMillis(STEP_MILLIS);
      channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
      channel.runPendingTasks();
      if (nowMillis % ControlState.TICK_MILLIS == 0) {
        instances.forEach(Instance::tick);
      }
    }
  }

  // Incident CONFIG after a silence: instances handled requests by a configuration that was missing
  // a change of 6 and 8 s before, which the store had told to others.
  @Test
  void should_have_a_change_in_force_in_time_when_the_store_responds_to_other_instances_only() {
    passMillis(3_000);
    Instance turnedAway = instances.getFirst();
    turnedAway.client.setSilent(true);
    passMillis(5_000);

    store.putConfiguration(2);
    passMillis(BOUND_MILLIS);
    store.putConfiguration(3);
    passMillis(BOUND_MILLIS);

    assertThat(instances).extracting(Instance::configurationVersion).containsOnly(3L);
  }

  // The same for the list of servers, by which requests went to servers that had left.
  @Test
  void should_send_to_no_server_that_left_when_the_store_responds_to_other_instances_only() {
    passMillis(3_000);
    Instance turnedAway = instances.getFirst();
    turnedAway.client.setSilent(true);
    passMillis(5_000);

    store.remove(Topic.SERVERS, "server-1", new ControlChange.ServerRemoved("server-1"));
    passMillis(BOUND_MILLIS);

    assertThat(turnedAway.state.servers().findAvailable("server-1")).isEmpty();
  }

  // After an outage the entries of running servers are missing for some time.
  @Test
  void should_keep_servers_whose_entries_lapsed_when_it_reads_the_list_through_another_instance() {
    passMillis(3_000);
    instances.forEach(instance -> instance.client.setSilent(true));
    passMillis(5_000);
    store.remove(Topic.SERVERS, "server-1", new ControlChange.ServerRemoved("server-1"));
    instances.subList(1, INSTANCES).forEach(instance -> instance.client.setSilent(false));
    Instance turnedAway = instances.getFirst();
    passMillis(1_200);

    assertThat(turnedAway.state.listAgeNanos(Topic.SERVERS)).isLessThan(1_000_000_000L);
    assertThat(turnedAway.state.servers().findAvailable("server-1")).isPresent();
    passMillis(BOUND_MILLIS);
    assertThat(turnedAway.state.servers().findAvailable("server-1")).isEmpty();
  }
}
