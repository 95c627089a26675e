package org.bambooarch.cli.command;

import java.util.List;
import org.bambooarch.cli.Command;

/** The list of commands of the program. */
public final class Commands {

  private Commands() {}

  /** Returns a new object for each command, in the order in which the help lists them. */
  public static List<Command> all() {
    return List.of(
        new QuickstartCommand(),
        new ValidateCommand(),
        new PlanCommand(),
        new ApplyCommand(),
        new StatusCommand(),
        new KeyCommand(),
        DrainCommand.drain(),
        DrainCommand.undrain(),
        new DumpCommand(),
        new CallCommand(),
        new EntryCommand(),
        new GatewayCommand(),
        new RehearseCommand(),
        new ExplainCommand(),
        new StandinPlatformCommand(),
        new StandinTargetCommand());
  }
}
