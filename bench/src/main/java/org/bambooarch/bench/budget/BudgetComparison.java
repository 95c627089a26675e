package org.bambooarch.bench.budget;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.bambooarch.bench.budget.Scenario.Load;
import org.bambooarch.bench.budget.Scenario.Spread;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.BudgetSettings;

/**
 * Compares the shared budgets with one ideal central bucket and with static equal shares.
 *
 * <p>All three see the same arrivals in the same run. The output depends on the seed alone.
 */
public final class BudgetComparison {

  private static final int INSTANCES = 10;
  private static final double PERCENT = 100;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double USE_OF_RATE = 0.7;
  private static final String AGGRESSOR = "customer-0";

  private record Trial(Scenario scenario, Consumer<FleetTrial> faults) {}

  private BudgetComparison() {}

  /** Runs all cases; the only argument is the seed. */
  public static void main(String[] args) {
    long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
    print(seed, System.out);
  }

  static void print(long seed, PrintStream out) {
    out.printf(
        Locale.ROOT,
        "%-22s %-10s %9s %9s %9s %9s %9s %8s %8s%n",
        "case",
        "customer",
        "sent",
        "ours_%",
        "ideal_%",
        "static_%",
        "waited_%",
        "wait_ms",
        "excess");
    for (Trial trial : trials()) {
      FleetTrial run = run(seed, trial);
      printWorst(trial.scenario(), run, out);
      printTraffic(trial.scenario(), run, out);
    }
  }

  private static FleetTrial run(long seed, Trial trial) {
    FleetTrial run = new FleetTrial(seed, INSTANCES, BudgetSettings.defaults(), trial.scenario());
    run.runSeconds(15);
    run.startTraffic();
    trial.faults().accept(run);
    return run;
  }

  private static void printWorst(Scenario scenario, FleetTrial run, PrintStream out) {
    String worst = null;
    for (Map.Entry<String, CustomerTally> entry : run.tallies().entrySet()) {
      if (isAggressor(scenario, entry.getKey())) {
        printRow(scenario.name(), entry.getKey() + "*", entry.getValue(), out);
        continue;
      }
      CustomerTally tally = entry.getValue();
      if (worst == null || tally.refusedShare() > run.tallies().get(worst).refusedShare()) {
        worst = entry.getKey();
      }
    }
    printRow(scenario.name(), worst, run.tallies().get(worst), out);
  }

  private static void printTraffic(Scenario scenario, FleetTrial run, PrintStream out) {
    double nodeSeconds = run.events().nowNanos() / NANOS_PER_SECOND * INSTANCES;
    out.printf(
        Locale.ROOT,
        "%-22s each instance sends %.0f messages and %.0f entries a second%n",
        scenario.name(),
        run.network().messages() / nodeSeconds,
        run.network().entries() / nodeSeconds);
  }

  private static boolean isAggressor(Scenario scenario, String customer) {
    for (Load load : scenario.loads()) {
      if (load.limits().name().equals(customer)) {
        return load.demandPerSecond() > load.limits().quantaPerSecond();
      }
    }
    return false;
  }

  private static void printRow(String name, String customer, CustomerTally tally, PrintStream out) {
    out.printf(
        Locale.ROOT,
        "%-22s %-10s %9d %9.4f %9.4f %9.4f %9.4f %8d %8d%n",
        name,
        customer,
        tally.sent,
        PERCENT * tally.refusedShare(),
        PERCENT * tally.idealRefusedShare(),
        PERCENT * tally.staticRefusedShare(),
        PERCENT * tally.waited / Math.max(1, tally.admitted),
        tally.waitedNanosMax / NANOS_PER_MILLI,
        tally.excessAdmitted);
  }

  private static List<Trial> trials() {
    List<Trial> trials = new ArrayList<>();
    trials.add(calm("uniform", 300, Spread.UNIFORM));
    trials.add(calm("one-instance", 300, Spread.ONE_INSTANCE));
    trials.add(calm("wandering", 300, Spread.WANDERING));
    trials.add(
        new Trial(
            new Scenario("aggressor-5x", 300, loads(Spread.UNIFORM, 5)),
            run -> run.runSeconds(300)));
    trials.add(
        new Trial(
            new Scenario("death-uniform", 300, loads(Spread.UNIFORM, USE_OF_RATE)),
            BudgetComparison::killOne));
    trials.add(
        new Trial(
            new Scenario("death-one-instance", 300, loads(Spread.ONE_INSTANCE, USE_OF_RATE)),
            BudgetComparison::killOne));
    trials.add(
        new Trial(
            new Scenario("store-down-uniform", 600, loads(Spread.UNIFORM, USE_OF_RATE)),
            BudgetComparison::storeDown));
    trials.add(
        new Trial(
            new Scenario("store-down-wandering", 600, loads(Spread.WANDERING, USE_OF_RATE)),
            BudgetComparison::storeDown));
    return trials;
  }

  private static Trial calm(String name, long seconds, Spread spread) {
    Scenario scenario = new Scenario(name, seconds, loads(spread, USE_OF_RATE));
    return new Trial(scenario, run -> run.runSeconds(seconds));
  }

  private static void killOne(FleetTrial run) {
    run.runSeconds(100);
    run.nodes().get(0).kill();
    run.runSeconds(20);
    run.replace(0);
    run.runSeconds(180);
  }

  private static void storeDown(FleetTrial run) {
    run.store().setUp(false);
    run.runSeconds(600);
    run.store().setUp(true);
  }

  /** Returns eight customers, two of them large; the first one uses the given part of its rate. */
  private static List<Load> loads(Spread spread, double firstUse) {
    double[] rates = {200, 100, 40, 20, 20, 10, 10, 5};
    List<Load> loads = new ArrayList<>();
    for (int i = 0; i < rates.length; i++) {
      String name = i == 0 ? AGGRESSOR : "customer-" + i;
      BudgetResource limits = new BudgetResource(name, rates[i], (long) (2 * rates[i]));
      double use = i == 0 ? firstUse : USE_OF_RATE;
      loads.add(new Load(limits, use * rates[i], spread));
    }
    return loads;
  }
}
