package org.bambooarch.cli.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.core.inventory.Inventory;

/** Checks an inventory directory without connecting to the platform. */
final class ValidateCommand implements Command {

  @Override
  public String name() {
    return "validate";
  }

  @Override
  public String arguments() {
    return "DIRECTORY";
  }

  @Override
  public String summary() {
    return "check an inventory directory and print all findings with their places";
  }

  @Override
  public void declareOptions(OptionParser options) {}

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    Inventory inventory = Arguments.readInventory(options, console);
    console.printLine(
        "valid: %d regions, %d data centres, %d services, %d servers, %d customers,"
            + " %d client blocks",
        inventory.regions().size(),
        inventory.dataCentres().size(),
        inventory.services().size(),
        inventory.servers().size(),
        inventory.customers().size(),
        inventory.clientBlocks().size());
    return ExitCode.DONE;
  }
}
