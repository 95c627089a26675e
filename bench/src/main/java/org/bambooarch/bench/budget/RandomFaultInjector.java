package org.bambooarch.bench.budget;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Injects random faults into a simulation: paused and killed processes, network partitions, store
 * outages, lost store answers, and lost, duplicated and reordered messages.
 */
final class RandomFaultInjector {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int FAULT_KINDS = 7;

  private final FleetSimulation simulation;
  private final SplittableRandom random;
  private boolean stopped;

  RandomFaultInjector(FleetSimulation simulation, long seed) {
    this.simulation = simulation;
    this.random = new SplittableRandom(seed);
  }

  void start() {
    scheduleUnlessStopped(0.5 + random.nextDouble() * 2, this::injectNext);
  }

  /** Ends all faults for good, resumes paused processes and replaces dead ones by new processes. */
  void stopAndRecover() {
    stopped = true;
    simulation.network().setFaults(0, 0, 0);
    simulation.network().isolate(Set.of());
    simulation.store().setAvailable(true);
    simulation.store().setLossRate(0);
    for (int i = 0; i < simulation.instances().size(); i++) {
      simulation.instances().get(i).resume();
      simulation.replaceIfDead(i);
    }
  }

  private void scheduleUnlessStopped(double seconds, Runnable action) {
    simulation
        .events()
        .after(
            (long) (seconds * NANOS_PER_SECOND),
            () -> {
              if (!stopped) {
                action.run();
              }
            });
  }

  private void injectNext() {
    int index = random.nextInt(simulation.instances().size());
    FleetInstance instance = simulation.instances().get(index);
    switch (random.nextInt(FAULT_KINDS)) {
      case 0 -> {
        instance.pause();
        scheduleUnlessStopped(0.3 + random.nextDouble() * 9, instance::resume);
      }
      case 1 -> {
        instance.kill();
        scheduleUnlessStopped(
            0.5 + random.nextDouble() * 15, () -> simulation.replaceIfDead(index));
      }
      case 2 -> {
        simulation.network().isolate(randomInstanceNames());
        scheduleUnlessStopped(
            0.5 + random.nextDouble() * 10, () -> simulation.network().isolate(Set.of()));
      }
      case 3 -> {
        simulation.store().setAvailable(false);
        scheduleUnlessStopped(
            1 + random.nextDouble() * 15, () -> simulation.store().setAvailable(true));
      }
      case 4 -> simulation.store().setLossRate(random.nextDouble() * 0.4);
      case 5 -> simulation.network().setFaults(randomUpTo(0.4), randomUpTo(0.4), randomUpTo(0.4));
      default -> simulation.network().setFaults(0, 0, 0);
    }
    scheduleUnlessStopped(0.3 + random.nextDouble() * 3, this::injectNext);
  }

  private double randomUpTo(double max) {
    return random.nextDouble() * max;
  }

  private Set<String> randomInstanceNames() {
    Set<String> names = new HashSet<>();
    List<FleetInstance> instances = simulation.instances();
    int count = 1 + random.nextInt(instances.size() / 2);
    for (int i = 0; i < count; i++) {
      names.add(instances.get(random.nextInt(instances.size())).name());
    }
    return names;
  }
}
