package org.bambooarch.cli.command;

import java.util.List;
import org.bambooarch.cli.Command;

/** All commands, in the order of the help text. */
public final class Commands {

  private Commands() {}

  /** Returns all commands. */
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
