package org.bambooarch.bench.experiment;

import java.util.List;
import org.bambooarch.core.inventory.DrainRule;

/** Starts and ends the faults of a scenario. */
final class Faults {

  private static final int REGION = 0;
  private static final long DETECTION_NANOS = 1_000_000_000L;
  private static final long DRAIN_POLL_NANOS = 10_000_000L;
  private static final int FAILING_EVERY = 4;

  private final Simulation run;

  Faults(Simulation run) {
    this.run = run;
  }

  void schedule() {
    for (Scenario.Fault fault : run.scenario.faults()) {
      run.events.after(fault.startSecond() * Simulation.NANOS_PER_SECOND, () -> start(fault));
      run.events.after(fault.endSecond() * Simulation.NANOS_PER_SECOND, () -> end(fault));
    }
  }

  private void start(Scenario.Fault fault) {
    switch (fault) {
      case Scenario.Fault.RegionDown down -> killRegion();
      case Scenario.Fault.Drain drain -> startDrain();
      case Scenario.Fault.SlowServers slow -> setSlow(true);
      case Scenario.Fault.LyingReports lies -> setFailing(true);
    }
  }

  private void end(Scenario.Fault fault) {
    switch (fault) {
      case Scenario.Fault.RegionDown down -> restartRegion();
      case Scenario.Fault.Drain drain -> run.drain();
      case Scenario.Fault.SlowServers slow -> setSlow(false);
      case Scenario.Fault.LyingReports lies -> setFailing(false);
    }
  }

  private void killRegion() {
    run.targetsOfRegion(REGION).forEach(FakeTarget::die);
    for (int instance = 0; instance < run.fleet.size(); instance++) {
      if (run.fleet.regionOf(instance) == REGION) {
        run.fleet.alive[instance] = false;
      }
    }
    run.events.after(DETECTION_NANOS, run.fleet::publishInstances);
  }

  private void restartRegion() {
    run.targetsOfRegion(REGION).forEach(FakeTarget::restart);
    for (int instance = 0; instance < run.fleet.size(); instance++) {
      if (run.fleet.regionOf(instance) == REGION) {
        run.fleet.start(instance, run.inventory());
      }
    }
    run.fleet.publishInstances();
  }

  private void startDrain() {
    run.drain(new DrainRule(DrainRule.Kind.REGION, run.deployment.regions().get(REGION)));
    long startNanos = run.events.nowNanos();
    run.events.after(DRAIN_POLL_NANOS, () -> pollDrain(startNanos));
  }

  private void pollDrain(long startNanos) {
    List<FakeTarget> targets = run.targetsOfRegion(REGION);
    if (targets.stream().allMatch(target -> target.running == 0)) {
      double nanos = run.events.nowNanos() - startNanos;
      run.results.drainSeconds = nanos / Simulation.NANOS_PER_SECOND;
      return;
    }
    run.events.after(DRAIN_POLL_NANOS, () -> pollDrain(startNanos));
  }

  private void setSlow(boolean slow) {
    List<FakeTarget> targets = run.targetsOfRegion(REGION);
    for (int row = 0; row < targets.size(); row += 2) {
      targets.get(row).slow = slow;
    }
  }

  private void setFailing(boolean failing) {
    for (int row = 0; row < run.targets.length; row += FAILING_EVERY) {
      run.targets[row].failing = failing;
    }
  }
}
