package org.bambooarch.gateway.control;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.bambooarch.core.steering.fleet.FleetTable;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;

/**
 * The instances of one region that are stopped in turn, each started again when it has ended. They
 * hear each other's heartbeats after a delay of one step.
 */
final class RollingStops {

  static final long STEP_MILLIS = 50;

  private static final long GRACE_MILLIS = 6_000;
  private static final long MIN_START_MILLIS = 2_200;
  private static final long MAX_START_MILLIS = 3_000;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ManualClock clock = ManualClock.startingAtZero();
  private final RandomGenerator random;
  private final List<Instance> instances = new ArrayList<>();
  private List<Heartbeat> inTransit = new ArrayList<>();

  private static final class Instance {
    private final int number;
    private ControlState state;
    private long readyAtMillis;
    private long heartbeatAtMillis;
    private long run;

    private Instance(int number) {
      this.number = number;
    }

    private boolean isRunning() {
      return state != null;
    }
  }

  RollingStops(int count, RandomGenerator random) {
    this.random = random;
    for (int number = 0; number < count; number++) {
      Instance instance = new Instance(number);
      instances.add(instance);
      start(instance, 0);
    }
  }

  long nowMillis() {
    return clock.wallMillis();
  }

  /** Returns how many instances accept requests now that they can serve. */
  long accepting() {
    return instances.stream()
        .filter(Instance::isRunning)
        .filter(instance -> instance.state.config().isPresent())
        .filter(instance -> instance.state.acceptsRequests())
        .count();
  }

  boolean areAllReady() {
    return instances.stream().allMatch(i -> i.isRunning() && i.state.isReady());
  }

  /** Begins a graceful stop. */
  void stop(int number) {
    Instance instance = instances.get(number);
    instance.state.beginShutdown(StopSchedule.from(clock.monotonicNanos(), GRACE_MILLIS));
    sendHeartbeat(instance);
  }

  /** Advances the time by one step. */
  void step() {
    clock.advanceMillis(STEP_MILLIS);
    List<Heartbeat> arriving = inTransit;
    inTransit = new ArrayList<>();
    for (Instance instance : instances) {
      if (instance.isRunning()) {
        arriving.forEach(instance.state::onHeartbeat);
        step(instance);
      }
    }
  }

  private void step(Instance instance) {
    if (instance.state.isShuttingDown() && !instance.state.acceptsRequests()) {
      start(instance, random.nextLong(MIN_START_MILLIS, MAX_START_MILLIS + 1));
      return;
    }
    if (instance.state.config().isEmpty() && nowMillis() >= instance.readyAtMillis) {
      instance.state.replaceList(Topic.OPERATOR, ControlStateTest.configuration(1));
      instance.state.replaceList(Topic.SERVERS, new ControlUpdate(0, 1, List.of()));
    }
    if (nowMillis() % ControlState.TICK_MILLIS == 0) {
      instance.state.tick();
    }
    if (nowMillis() >= instance.heartbeatAtMillis) {
      sendHeartbeat(instance);
    }
  }

  private void start(Instance instance, long startMillis) {
    instance.run++;
    InstanceIdentity identity =
        new InstanceIdentity(
            "entry-" + instance.number,
            instance.run,
            "north",
            "north-a",
            instance.number + ":1",
            instance.number + ":2");
    instance.state = new ControlState(ListWatcherTest.settings(identity), clock);
    instance.readyAtMillis = nowMillis() + startMillis;
    instance.heartbeatAtMillis = instance.readyAtMillis;
  }

  private void sendHeartbeat(Instance instance) {
    inTransit.add(instance.state.createHeartbeat());
    instance.heartbeatAtMillis = nowMillis() + FleetTable.HEARTBEAT_NANOS / NANOS_PER_MILLI;
  }
}
