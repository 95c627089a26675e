package org.bambooarch.cli.command;

import java.util.List;
import java.util.OptionalLong;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.cli.config.ConfigSession;
import org.bambooarch.cli.config.PlatformOptions;
import org.bambooarch.cli.http.InstanceFinder;
import org.bambooarch.cli.http.OperatorsClient;
import org.bambooarch.store.InstanceRecord;

/**
 * Prints the version in force and the state of each instance in the platform's list.
 *
 * <p>Fails unless all instances that are not leaving have the newest accepted version in force.
 */
final class StatusCommand implements Command {

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String arguments() {
    return "";
  }

  @Override
  public String summary() {
    return "print which instance has which version in force";
  }

  @Override
  public void declareOptions(OptionParser options) {
    PlatformOptions.declareForReading(options);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    Arguments.positional(0, "no arguments", options);
    long accepted = ConfigSession.of(options).readNewest().version();
    List<InstanceRecord> instances = InstanceFinder.findAll(options);
    int current = 0;
    int expected = 0;
    console.printLine("%-20s %-16s %8s  %s", "instance", "data centre", "version", "state");
    for (InstanceRecord instance : instances) {
      OperatorsClient client = OperatorsClient.of(instance);
      OptionalLong version = client.versionInForce();
      String shown = version.isPresent() ? Long.toString(version.getAsLong()) : "-";
      console.printLine(
          "%-20s %-16s %8s  %s",
          instance.name(), instance.dataCentre(), shown, state(instance, client));
      if (instance.leaving()) {
        continue;
      }
      expected++;
      if (version.isPresent() && version.getAsLong() >= accepted) {
        current++;
      }
    }
    console.printLine(
        "version %d is accepted; in force on %d of %d instances", accepted, current, expected);
    return current == expected ? ExitCode.DONE : ExitCode.FAILED;
  }

  private static String state(InstanceRecord instance, OperatorsClient client) {
    if (instance.leaving()) {
      return "leaving";
    }
    return client.isReady().map(ready -> ready ? "ready" : "not ready").orElse("no answer");
  }
}
