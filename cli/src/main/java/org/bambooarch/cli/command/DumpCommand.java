package org.bambooarch.cli.command;

import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.cli.config.PlatformOptions;
import org.bambooarch.cli.http.InstanceFinder;
import org.bambooarch.cli.http.OperatorsClient;

/** Prints the state dump from the operators' port of one instance. */
final class DumpCommand implements Command {

  @Override
  public String name() {
    return "dump";
  }

  @Override
  public String arguments() {
    return "INSTANCE";
  }

  @Override
  public String summary() {
    return "print the state of one instance as JSON";
  }

  @Override
  public void declareOptions(OptionParser options) {
    PlatformOptions.declareForReading(options);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    String name = Arguments.positional(1, "one instance name", options).getFirst();
    Optional<String> dump = OperatorsClient.of(InstanceFinder.findByName(name, options)).dump();
    if (dump.isEmpty()) {
      throw new CommandException(
          ExitCode.UNREACHABLE,
          "instance " + name + " does not answer on its operators' port; check that it runs");
    }
    console.printLine("%s", dump.get());
    return ExitCode.DONE;
  }
}
