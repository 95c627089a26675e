package org.bambooarch.cli.command;

import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.cli.config.ConfigSession;
import org.bambooarch.cli.config.PlatformOptions;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.inventory.InventoryDiff;

/** Prints the differences between an inventory directory and the newest accepted inventory. */
final class PlanCommand implements Command {

  @Override
  public String name() {
    return "plan";
  }

  @Override
  public String arguments() {
    return "DIRECTORY";
  }

  @Override
  public String summary() {
    return "print what apply would change, and the version to expect";
  }

  @Override
  public void declareOptions(OptionParser options) {
    PlatformOptions.declareForReading(options);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    Inventory wanted = Arguments.readInventory(options, console);
    ConfigState newest = ConfigSession.of(options).readNewest();
    List<String> lines = InventoryDiff.between(newest.inventory(), wanted);
    lines.forEach(line -> console.printLine("%s", line));
    console.printLine(
        "version %d is accepted; %d differences; apply with --expect %d",
        newest.version(), lines.size(), newest.version());
    return ExitCode.DONE;
  }
}
