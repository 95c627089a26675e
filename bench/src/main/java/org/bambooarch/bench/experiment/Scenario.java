package org.bambooarch.bench.experiment;

import java.util.List;

/**
 * The load and the faults of one simulation run.
 *
 * @param name name used on the command line
 * @param load demand as a fraction of the capacity of all servers
 * @param bulkFactor number of bulk requests as a multiple of that in the ordinary mix
 * @param bulkDueMinutes minutes of wall-clock time until bulk requests are due, or {@link #NOT_DUE}
 * @param aggressorDemandFactor demand of one customer as a multiple of its ordinary demand
 * @param reportLagSeconds age in seconds of a server report when it arrives
 * @param faults faults that occur during the run
 */
record Scenario(
    String name,
    double load,
    double bulkFactor,
    int bulkDueMinutes,
    double aggressorDemandFactor,
    int reportLagSeconds,
    List<Fault> faults) {

  static final int NOT_DUE = Integer.MAX_VALUE;
  static final double ORDINARY_LOAD = 0.45;

  /**
   * Peak load as a fraction of the capacity of all three regions; it is 93% of the capacity of two
   * of them.
   */
  static final double PEAK_LOAD = 0.62;

  /** A fault that starts and ends at given seconds of the simulation. */
  sealed interface Fault {
    int startSecond();

    int endSecond();

    /** All servers and instances of the first region die, and restart with cold caches. */
    record RegionDown(int startSecond, int endSecond) implements Fault {}

    /** An operator drains the first region, then ends the drain. */
    record Drain(int startSecond, int endSecond) implements Fault {}

    /** Every second server of the first region takes 8 times as long. */
    record SlowServers(int startSecond, int endSecond) implements Fault {}

    /**
     * Every fourth server fails every request while the fault lasts. All servers report that they
     * are idle and healthy, also before and after it.
     */
    record FalseReports(int startSecond, int endSecond) implements Fault {}
  }

  static List<Scenario> all() {
    return List.of(
        of("ordinary-day", ORDINARY_LOAD),
        of("peak", PEAK_LOAD),
        of("high-peak", 0.75),
        new Scenario("declarations-deadline", PEAK_LOAD, 3, 60, 1, 1, List.of()),
        new Scenario("declarations-last-minutes", PEAK_LOAD, 3, 2, 1, 1, List.of()),
        new Scenario("aggressor", PEAK_LOAD, 1, NOT_DUE, 5, 1, List.of()),
        of("region-down", PEAK_LOAD, new Fault.RegionDown(8, 18)),
        of("planned-drain", PEAK_LOAD, new Fault.Drain(8, 18)),
        new Scenario(
            "lagging-reports", PEAK_LOAD, 1, NOT_DUE, 1, 10, List.of(new Fault.SlowServers(8, 18))),
        of("lying-reports", PEAK_LOAD, new Fault.FalseReports(8, 18)),
        of("slow-servers", PEAK_LOAD, new Fault.SlowServers(8, 18)),
        new Scenario(
            "region-down-and-aggressor",
            PEAK_LOAD,
            1,
            NOT_DUE,
            5,
            1,
            List.of(new Fault.RegionDown(8, 18))),
        new Scenario(
            "region-down-and-bulk",
            ORDINARY_LOAD,
            4,
            NOT_DUE,
            1,
            1,
            List.of(new Fault.RegionDown(8, 18))),
        of("drain-and-slow", PEAK_LOAD, new Fault.Drain(8, 18), new Fault.SlowServers(10, 20)));
  }

  static Scenario of(String name, double load, Fault... faults) {
    return new Scenario(name, load, 1, NOT_DUE, 1, 1, List.of(faults));
  }
}
