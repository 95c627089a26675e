package org.bambooarch.bench.experiment;

import java.util.List;

/** Runs all policies on the same scenarios with the same seed and collects their results. */
final class Experiment {

  private final Deployment deployment;
  private final List<Scenario> scenarios;
  private final long seed;
  private final ResultTable table = new ResultTable();
  private final SvgPlot unservedPlot;
  private final SvgPlot latencyPlot;

  Experiment(Deployment deployment, List<Scenario> scenarios, long seed) {
    this.deployment = deployment;
    this.scenarios = scenarios;
    this.seed = seed;
    unservedPlot = new SvgPlot(deployment.name() + ": unserved requests of the worst customer, %");
    latencyPlot = new SvgPlot(deployment.name() + ": interactive p99 of the worst customer, ms");
  }

  void run() {
    for (Scenario scenario : scenarios) {
      for (Policy policy : Policy.values()) {
        Results results = new Simulation(deployment, scenario, policy, seed).run();
        table.add(scenario, policy, results);
        unservedPlot.add(scenario.name(), policy, results.worstUnservedPercent());
        latencyPlot.add(scenario.name(), policy, results.worstCustomerP99Millis(-1));
      }
    }
  }

  ResultTable table() {
    return table;
  }

  SvgPlot unservedPlot() {
    return unservedPlot;
  }

  SvgPlot latencyPlot() {
    return latencyPlot;
  }
}
