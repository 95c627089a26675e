package org.bambooarch.core.steering.load;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/**
 * Prints how the requests of simulated days end, by deployment, rate and disturbance: the credit of
 * responses by their value, the fractions of late and refused requests, and the credits of the kind
 * and the data centre that fare worst.
 */
final class SteeringExperiment {

  private static final double DAY_MILLIS = 45_000;
  private static final double DISTURBANCE_MILLIS = 15_000;
  private static final double WAVE_MILLIS = 36_000;
  private static final double WAVE_SWING = 0.55;
  private static final double BOUND_FRACTION = 0.12;
  private static final double NAMED_LIMIT_PER_SECOND = 10;
  private static final int SEEDS = 3;

  private SteeringExperiment() {}

  /** Runs the experiment; the only argument, if any, is the number of seeds. */
  public static void main(String[] arguments) {
    int seeds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : SEEDS;
    run("uneven", SimulatedDeployment::unevenRegions, new double[] {80, 125, 156}, seeds);
    run("mixed", SimulatedDeployment::mixedProcessingTimes, new double[] {70, 109, 132}, seeds);
    run("long", SimulatedDeployment::longProcessingTimes, new double[] {22, 33, 44}, seeds);
  }

  private static void run(
      String name,
      BiFunction<Double, Double, SimulatedDeployment> deployment,
      double[] ratesPerSecond,
      int seeds) {
    for (double rate : ratesPerSecond) {
      disturbances()
          .forEach(
              (disturbance, apply) -> {
                for (long seed = 1; seed <= seeds; seed++) {
                  FleetSimulation simulation =
                      new FleetSimulation(deployment.apply(rate, BOUND_FRACTION), seed);
                  simulation.withRateFactor(place -> wave(simulation.nowMillis(), place.region()));
                  apply.accept(simulation);
                  System.out.printf(
                      Locale.ROOT,
                      "%s rate=%.0f %s seed=%d: %s%n",
                      name,
                      rate,
                      disturbance,
                      seed,
                      simulation.run(DAY_MILLIS));
                }
              });
    }
  }

  private static Map<String, Consumer<FleetSimulation>> disturbances() {
    Map<String, Consumer<FleetSimulation>> disturbances = new LinkedHashMap<>();
    disturbances.put("calm", simulation -> {});
    disturbances.put(
        "slow-servers",
        simulation ->
            simulation
                .changeServersAt(DISTURBANCE_MILLIS, "read-north-a", server -> server.slowDown(8))
                .changeServersAt(
                    DISTURBANCE_MILLIS + 10_000, "read-north-a", server -> server.slowDown(1)));
    disturbances.put(
        "restarted-instances", simulation -> simulation.restartInstancesAt(DISTURBANCE_MILLIS));
    disturbances.put(
        "forgetful-servers",
        simulation ->
            simulation.changeServersAt(DISTURBANCE_MILLIS, "", SimulatedServer::forgetObjects));
    disturbances.put(
        "limited-servers",
        simulation -> {
          for (String servers : List.of("read-north-a", "read-south-a")) {
            simulation
                .changeServersAt(
                    DISTURBANCE_MILLIS,
                    servers,
                    server -> server.nameLimit(OptionalDouble.of(NAMED_LIMIT_PER_SECOND)))
                .changeServersAt(
                    DISTURBANCE_MILLIS + 10_000,
                    servers,
                    server -> server.nameLimit(OptionalDouble.empty()));
          }
        });
    disturbances.put(
        "lost-data-centre",
        simulation ->
            simulation
                .removeServersAt(DISTURBANCE_MILLIS, "read-north-a")
                .removeServersAt(DISTURBANCE_MILLIS, "write-north-a")
                .removeServersAt(DISTURBANCE_MILLIS, "move-north-a"));
    return disturbances;
  }

  private static double wave(double millis, String region) {
    double phase =
        switch (region) {
          case "north" -> 0.4;
          case "south" -> 0.7;
          default -> 1.1;
        };
    return 1 + WAVE_SWING * Math.sin(2 * Math.PI * millis / WAVE_MILLIS + phase);
  }
}
