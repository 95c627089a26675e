package org.bambooarch.bench.budget;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.bambooarch.bench.budget.Workload.CustomerLoad;
import org.bambooarch.bench.budget.Workload.InstanceSelection;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.BudgetSettings;

/**
 * Prints which percentage of each customer's requests is refused with the shared budgets, with one
 * ideal central token bucket, and with a static equal share for each instance.
 *
 * <p>All three are given the same arrivals in the same run. The output depends on the seed alone.
 * For each case, it shows every customer whose demand exceeds its rate, marked with an asterisk,
 * and of the others the one with the highest percentage of refusals.
 */
public final class BudgetComparison {

  private static final int INSTANCES = 10;
  private static final double PERCENT = 100;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double DEMAND_TO_RATE_RATIO = 0.7;
  private static final String AGGRESSOR = "customer-0";

  private record ComparisonCase(Workload workload, Consumer<FleetSimulation> faults) {}

  private BudgetComparison() {}

  /** Runs all cases; the optional argument is the seed, 1 if absent. */
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
    for (ComparisonCase comparisonCase : cases()) {
      FleetSimulation simulation = run(seed, comparisonCase);
      printCustomers(comparisonCase.workload(), simulation, out);
      printTraffic(comparisonCase.workload(), simulation, out);
    }
  }

  private static FleetSimulation run(long seed, ComparisonCase comparisonCase) {
    FleetSimulation simulation =
        new FleetSimulation(seed, INSTANCES, BudgetSettings.defaults(), comparisonCase.workload());
    simulation.runSeconds(15);
    simulation.startTraffic();
    comparisonCase.faults().accept(simulation);
    return simulation;
  }

  private static void printCustomers(
      Workload workload, FleetSimulation simulation, PrintStream out) {
    String worst = null;
    for (Map.Entry<String, CustomerCounts> entry : simulation.countsByCustomer().entrySet()) {
      if (exceedsRate(workload, entry.getKey())) {
        printRow(workload.name(), entry.getKey() + "*", entry.getValue(), out);
        continue;
      }
      CustomerCounts counts = entry.getValue();
      if (worst == null
          || counts.refusedShare() > simulation.countsByCustomer().get(worst).refusedShare()) {
        worst = entry.getKey();
      }
    }
    printRow(workload.name(), worst, simulation.countsByCustomer().get(worst), out);
  }

  private static void printTraffic(Workload workload, FleetSimulation simulation, PrintStream out) {
    double instanceSeconds = simulation.events().nowNanos() / NANOS_PER_SECOND * INSTANCES;
    out.printf(
        Locale.ROOT,
        "%-22s each instance sends %.0f messages and %.0f entries a second%n",
        workload.name(),
        simulation.network().messages() / instanceSeconds,
        simulation.network().reportEntries() / instanceSeconds);
  }

  private static boolean exceedsRate(Workload workload, String customer) {
    for (CustomerLoad load : workload.loads()) {
      if (load.limits().name().equals(customer)) {
        return load.demandPerSecond() > load.limits().quantaPerSecond();
      }
    }
    return false;
  }

  private static void printRow(
      String name, String customer, CustomerCounts counts, PrintStream out) {
    out.printf(
        Locale.ROOT,
        "%-22s %-10s %9d %9.4f %9.4f %9.4f %9.4f %8d %8d%n",
        name,
        customer,
        counts.sent,
        PERCENT * counts.refusedShare(),
        PERCENT * counts.idealRefusedShare(),
        PERCENT * counts.staticRefusedShare(),
        PERCENT * counts.waited / Math.max(1, counts.admitted),
        counts.longestWaitNanos / NANOS_PER_MILLI,
        counts.excessAdmitted);
  }

  private static List<ComparisonCase> cases() {
    List<ComparisonCase> cases = new ArrayList<>();
    cases.add(withoutFaults("uniform", 300, InstanceSelection.UNIFORM));
    cases.add(withoutFaults("one-instance", 300, InstanceSelection.ONE_INSTANCE));
    cases.add(withoutFaults("wandering", 300, InstanceSelection.ROTATING));
    cases.add(
        new ComparisonCase(
            new Workload("aggressor-5x", 300, loads(InstanceSelection.UNIFORM, 5)),
            simulation -> simulation.runSeconds(300)));
    cases.add(
        new ComparisonCase(
            new Workload(
                "death-uniform", 300, loads(InstanceSelection.UNIFORM, DEMAND_TO_RATE_RATIO)),
            BudgetComparison::killAndReplaceInstance));
    cases.add(
        new ComparisonCase(
            new Workload(
                "death-one-instance",
                300,
                loads(InstanceSelection.ONE_INSTANCE, DEMAND_TO_RATE_RATIO)),
            BudgetComparison::killAndReplaceInstance));
    cases.add(
        new ComparisonCase(
            new Workload(
                "store-down-uniform", 600, loads(InstanceSelection.UNIFORM, DEMAND_TO_RATE_RATIO)),
            BudgetComparison::stopStoreFor10Minutes));
    cases.add(
        new ComparisonCase(
            new Workload(
                "store-down-wandering",
                600,
                loads(InstanceSelection.ROTATING, DEMAND_TO_RATE_RATIO)),
            BudgetComparison::stopStoreFor10Minutes));
    return cases;
  }

  private static ComparisonCase withoutFaults(
      String name, long seconds, InstanceSelection selection) {
    Workload workload = new Workload(name, seconds, loads(selection, DEMAND_TO_RATE_RATIO));
    return new ComparisonCase(workload, simulation -> simulation.runSeconds(seconds));
  }

  private static void killAndReplaceInstance(FleetSimulation simulation) {
    simulation.runSeconds(100);
    simulation.instances().get(0).kill();
    simulation.runSeconds(20);
    simulation.replaceIfDead(0);
    simulation.runSeconds(180);
  }

  private static void stopStoreFor10Minutes(FleetSimulation simulation) {
    simulation.store().setAvailable(false);
    simulation.runSeconds(600);
    simulation.store().setAvailable(true);
  }

  /**
   * Returns the loads of eight customers. The first one sends the given multiple of its rate, the
   * others {@link #DEMAND_TO_RATE_RATIO}.
   */
  private static List<CustomerLoad> loads(InstanceSelection selection, double firstCustomerRatio) {
    double[] rates = {200, 100, 40, 20, 20, 10, 10, 5};
    List<CustomerLoad> loads = new ArrayList<>();
    for (int i = 0; i < rates.length; i++) {
      String name = i == 0 ? AGGRESSOR : "customer-" + i;
      BudgetResource limits = new BudgetResource(name, rates[i], (long) (2 * rates[i]));
      double demandRatio = i == 0 ? firstCustomerRatio : DEMAND_TO_RATE_RATIO;
      loads.add(new CustomerLoad(limits, demandRatio * rates[i], selection));
    }
    return loads;
  }
}
