package org.bambooarch.bench.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.bambooarch.bench.budget.Workload.CustomerLoad;
import org.bambooarch.bench.budget.Workload.InstanceSelection;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.BudgetSettings;

/**
 * Prints how the messages and the time that the budgets take grow with the numbers of instances and
 * customers.
 *
 * <p>The numbers of messages and entries depend on the seed alone. The time is the elapsed time of
 * the whole simulation, including its fake network and traffic, divided by the number of instances
 * and the simulated seconds; it is an upper bound of the budgets' own cost.
 */
public final class BudgetScaling {

  private static final double MEASURED_SIMULATED_SECONDS = 20;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double RATE = 50;
  private static final double DEMAND_TO_RATE_RATIO = 0.7;

  private BudgetScaling() {}

  /**
   * Measures several combinations of numbers of instances and customers, and prints one line for
   * each; takes no arguments. The first combination is measured again later, because the time in
   * its first line includes the warm-up of the JVM.
   */
  public static void main(String[] args) {
    System.out.printf(
        Locale.ROOT,
        "%9s %9s %12s %12s %14s%n",
        "instances",
        "customers",
        "messages/s",
        "entries/s",
        "ms/instance-s");
    run(10, 8);
    for (int instances : new int[] {5, 10, 20, 40}) {
      run(instances, 8);
    }
    for (int customers : new int[] {16, 32, 64}) {
      run(10, customers);
    }
  }

  private static void run(int instances, int customers) {
    List<CustomerLoad> loads = new ArrayList<>();
    for (int i = 0; i < customers; i++) {
      BudgetResource limits = new BudgetResource("customer-" + i, RATE, (long) (2 * RATE));
      loads.add(new CustomerLoad(limits, DEMAND_TO_RATE_RATIO * RATE, InstanceSelection.UNIFORM));
    }
    Workload workload = new Workload("slope", (long) MEASURED_SIMULATED_SECONDS, loads);
    FleetSimulation simulation =
        new FleetSimulation(1, instances, BudgetSettings.defaults(), workload);
    simulation.runSeconds(20);
    simulation.startTraffic();
    final long messagesBefore = simulation.network().messages();
    final long entriesBefore = simulation.network().reportEntries();
    final long startNanos = System.nanoTime();
    simulation.runSeconds(MEASURED_SIMULATED_SECONDS);
    double elapsedMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    double instanceSeconds = instances * MEASURED_SIMULATED_SECONDS;
    System.out.printf(
        Locale.ROOT,
        "%9d %9d %12.0f %12.0f %14.2f%n",
        instances,
        customers,
        (simulation.network().messages() - messagesBefore) / instanceSeconds,
        (simulation.network().reportEntries() - entriesBefore) / instanceSeconds,
        elapsedMillis / instanceSeconds);
  }
}
