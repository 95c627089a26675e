package org.bambooarch.cli.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.cli.config.ConfigSession;
import org.bambooarch.cli.config.PlatformOptions;
import org.bambooarch.cli.config.ProposalOutcome;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.inventory.Inventory;

/** Replaces the inventory, provided that the newest version is still the expected one. */
final class ApplyCommand implements Command {

  private static final String EXPECT = "expect";

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String arguments() {
    return "DIRECTORY --expect VERSION";
  }

  @Override
  public String summary() {
    return "put an inventory in force on top of the version that plan printed";
  }

  @Override
  public void declareOptions(OptionParser options) {
    PlatformOptions.declareForChanges(options);
    options
        .accepts(EXPECT, "version that plan printed; a newer one is a conflict")
        .withRequiredArg()
        .ofType(Long.class)
        .required();
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    Inventory wanted = Arguments.readInventory(options, console);
    long expectedVersion = (Long) options.valueOf(EXPECT);
    ProposalOutcome.Accepted accepted =
        ConfigSession.of(options)
            .propose(
                PlatformOptions.author(options),
                expectedVersion,
                new ConfigChange.ReplaceInventory(wanted));
    String note = accepted.readBack() ? " (the answer was lost; read back)" : "";
    console.printLine("accepted as version %d%s", accepted.version(), note);
    return ExitCode.DONE;
  }
}
