package org.bambooarch.bench.budget;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Injects random faults into a trial: pauses, deaths, cuts, store outages, a bad network. */
final class FaultSchedule {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int KINDS = 7;

  private final FleetTrial trial;
  private final SplittableRandom random;
  private boolean stopped;

  FaultSchedule(FleetTrial trial, long seed) {
    this.trial = trial;
    this.random = new SplittableRandom(seed);
  }

  void start() {
    after(0.5 + random.nextDouble() * 2, this::next);
  }

  /** Ends all faults and starts a fresh process for each dead one. */
  void heal() {
    stopped = true;
    trial.network().setFaults(0, 0, 0);
    trial.network().cutOff(Set.of());
    trial.store().setUp(true);
    trial.store().setLossRate(0);
    for (int i = 0; i < trial.nodes().size(); i++) {
      trial.nodes().get(i).resume();
      trial.replace(i);
    }
  }

  private void after(double seconds, Runnable action) {
    trial
        .events()
        .after(
            (long) (seconds * NANOS_PER_SECOND),
            () -> {
              if (!stopped) {
                action.run();
              }
            });
  }

  private void next() {
    int index = random.nextInt(trial.nodes().size());
    FleetNode node = trial.nodes().get(index);
    switch (random.nextInt(KINDS)) {
      case 0 -> {
        node.pause();
        after(0.3 + random.nextDouble() * 9, node::resume);
      }
      case 1 -> {
        node.kill();
        after(0.5 + random.nextDouble() * 15, () -> trial.replace(index));
      }
      case 2 -> {
        trial.network().cutOff(someNames());
        after(0.5 + random.nextDouble() * 10, () -> trial.network().cutOff(Set.of()));
      }
      case 3 -> {
        trial.store().setUp(false);
        after(1 + random.nextDouble() * 15, () -> trial.store().setUp(true));
      }
      case 4 -> trial.store().setLossRate(random.nextDouble() * 0.4);
      case 5 -> trial.network().setFaults(some(0.4), some(0.4), some(0.4));
      default -> trial.network().setFaults(0, 0, 0);
    }
    after(0.3 + random.nextDouble() * 3, this::next);
  }

  private double some(double most) {
    return random.nextDouble() * most;
  }

  private Set<String> someNames() {
    Set<String> names = new HashSet<>();
    List<FleetNode> nodes = trial.nodes();
    int count = 1 + random.nextInt(nodes.size() / 2);
    for (int i = 0; i < count; i++) {
      names.add(nodes.get(random.nextInt(nodes.size())).name());
    }
    return names;
  }
}
