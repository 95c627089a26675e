package org.bambooarch.bench.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Runs the experiments for all deployments, prints their tables and writes these, CSV files and
 * plots to a folder.
 *
 * <p>Optional arguments: names of scenarios, separated by commas, or {@code all}, which is the
 * default; the seed, 1 by default; the folder for the files, by default {@code build/experiments}.
 */
public final class ExperimentMain {

  private static final long DEFAULT_SEED = 1;

  private ExperimentMain() {}

  /** Runs the program; exits with status 2 if no scenario has any of the given names. */
  public static void main(String[] args) throws IOException {
    String names = args.length > 0 ? args[0] : "all";
    long seed = args.length > 1 ? Long.parseLong(args[1]) : DEFAULT_SEED;
    Path folder = Path.of(args.length > 2 ? args[2] : "build/experiments");
    PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    List<Scenario> scenarios = scenariosNamed(names);
    if (scenarios.isEmpty()) {
      out.println("no scenario is named " + names + "; valid names: all " + scenarioNames());
      System.exit(2);
    }
    Files.createDirectories(folder);
    for (Deployment deployment : Deployment.all()) {
      Experiment experiment = new Experiment(deployment, scenarios, seed);
      experiment.run();
      String file = deployment.name() + "-" + names;
      Files.writeString(folder.resolve(file + ".csv"), experiment.table().csv());
      Files.writeString(folder.resolve(file + ".md"), experiment.table().markdown());
      Files.writeString(folder.resolve(file + "-unserved.svg"), experiment.unservedPlot().svg());
      Files.writeString(folder.resolve(file + "-latency.svg"), experiment.latencyPlot().svg());
      out.println(deployment.name() + ", seed " + seed);
      out.println(experiment.table().markdown());
    }
    out.println("files: " + folder);
  }

  private static List<Scenario> scenariosNamed(String names) {
    return Scenario.all().stream()
        .filter(
            scenario -> names.equals("all") || List.of(names.split(",")).contains(scenario.name()))
        .toList();
  }

  private static String scenarioNames() {
    return String.join(" ", Scenario.all().stream().map(Scenario::name).toList());
  }
}
