package org.bambooarch.bench.experiment;

import java.util.List;
import org.bambooarch.core.inventory.DrainRule;

/**
 * Starts and ends the faults of a scenario at their times. Faults of a region affect the first
 * region; its dead instances leave the look-ups after a detection delay of 1 s.
 */
final class ScheduledFaultInjector {

  private static final int FAULTY_REGION = 0;
  private static final long DETECTION_DELAY_NANOS = 1_000_000_000L;
  private static final long DRAIN_POLL_INTERVAL_NANOS = 10_000_000L;
  private static final int FAILING_SERVER_STRIDE = 4;

  private final Simulation simulation;

  ScheduledFaultInjector(Simulation simulation) {
    this.simulation = simulation;
  }

  void schedule() {
    for (Scenario.Fault fault : simulation.scenario.faults()) {
      simulation.events.after(
          fault.startSecond() * Simulation.NANOS_PER_SECOND, () -> start(fault));
      simulation.events.after(fault.endSecond() * Simulation.NANOS_PER_SECOND, () -> end(fault));
    }
  }

  private void start(Scenario.Fault fault) {
    switch (fault) {
      case Scenario.Fault.RegionDown down -> killRegion();
      case Scenario.Fault.Drain drain -> startDrain();
      case Scenario.Fault.SlowServers slow -> setSlow(true);
      case Scenario.Fault.FalseReports reports -> setFailing(true);
    }
  }

  private void end(Scenario.Fault fault) {
    switch (fault) {
      case Scenario.Fault.RegionDown down -> restartRegion();
      case Scenario.Fault.Drain drain -> simulation.applyDrainRules();
      case Scenario.Fault.SlowServers slow -> setSlow(false);
      case Scenario.Fault.FalseReports reports -> setFailing(false);
    }
  }

  private void killRegion() {
    simulation.targetsInRegion(FAULTY_REGION).forEach(FakeTarget::kill);
    for (int instance = 0; instance < simulation.fleet.size(); instance++) {
      if (simulation.fleet.regionOf(instance) == FAULTY_REGION) {
        simulation.fleet.alive[instance] = false;
      }
    }
    simulation.events.after(DETECTION_DELAY_NANOS, simulation.fleet::publishInstances);
  }

  private void restartRegion() {
    simulation.targetsInRegion(FAULTY_REGION).forEach(FakeTarget::restart);
    for (int instance = 0; instance < simulation.fleet.size(); instance++) {
      if (simulation.fleet.regionOf(instance) == FAULTY_REGION) {
        simulation.fleet.start(instance, simulation.inventory());
      }
    }
    simulation.fleet.publishInstances();
  }

  private void startDrain() {
    simulation.applyDrainRules(
        new DrainRule(DrainRule.Kind.REGION, simulation.deployment.regions().get(FAULTY_REGION)));
    long startNanos = simulation.events.nowNanos();
    simulation.events.after(DRAIN_POLL_INTERVAL_NANOS, () -> pollDrain(startNanos));
  }

  private void pollDrain(long startNanos) {
    List<FakeTarget> targets = simulation.targetsInRegion(FAULTY_REGION);
    if (targets.stream().allMatch(target -> target.running == 0)) {
      double nanos = simulation.events.nowNanos() - startNanos;
      simulation.results.drainSeconds = nanos / Simulation.NANOS_PER_SECOND;
      return;
    }
    simulation.events.after(DRAIN_POLL_INTERVAL_NANOS, () -> pollDrain(startNanos));
  }

  private void setSlow(boolean slow) {
    List<FakeTarget> targets = simulation.targetsInRegion(FAULTY_REGION);
    for (int index = 0; index < targets.size(); index += 2) {
      targets.get(index).slow = slow;
    }
  }

  private void setFailing(boolean failing) {
    for (int index = 0; index < simulation.targets.length; index += FAILING_SERVER_STRIDE) {
      simulation.targets[index].failing = failing;
    }
  }
}
