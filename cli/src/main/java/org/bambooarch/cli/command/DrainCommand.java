package org.bambooarch.cli.command;

import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandErrors;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.cli.config.ConfigSession;
import org.bambooarch.cli.config.PlatformOptions;
import org.bambooarch.cli.config.ProposalOutcome;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;

/**
 * Starts or ends the drain of a place, a server or an instance. A place is a region or a data
 * centre.
 */
final class DrainCommand implements Command {

  private static final String EXPECTED_ARGUMENTS = "place NAME, server NAME, or instance NAME";

  private final boolean drained;

  private DrainCommand(boolean drained) {
    this.drained = drained;
  }

  static DrainCommand drain() {
    return new DrainCommand(true);
  }

  static DrainCommand undrain() {
    return new DrainCommand(false);
  }

  @Override
  public String name() {
    return drained ? "drain" : "undrain";
  }

  @Override
  public String arguments() {
    return "place NAME | server NAME | instance NAME";
  }

  @Override
  public String summary() {
    return drained
        ? "take a place, a server or an instance out of use without cutting requests"
        : "put a place, a server or an instance back in use";
  }

  @Override
  public void declareOptions(OptionParser options) {
    PlatformOptions.declareForChanges(options);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    List<String> arguments = Arguments.positional(2, EXPECTED_ARGUMENTS, options);
    String name = arguments.get(1);
    ProposalOutcome.Accepted accepted =
        ConfigSession.of(options)
            .proposeOnNewest(
                PlatformOptions.author(options),
                newest -> new ConfigChange.SetDrain(drainRule(newest, arguments), drained));
    console.printLine(
        "%s %s %s version %d", name(), arguments.getFirst(), name, accepted.version());
    return ExitCode.DONE;
  }

  private static DrainRule drainRule(ConfigState newest, List<String> arguments)
      throws CommandException {
    String name = arguments.get(1);
    Inventory inventory = newest.inventory();
    return switch (arguments.getFirst()) {
      case "place" -> placeRule(inventory, name);
      case "server" -> {
        requireFound(inventory.servers().stream().anyMatch(row -> row.name().equals(name)), name);
        yield new DrainRule(DrainRule.Kind.SERVER, name);
      }
      case "instance" -> new DrainRule(DrainRule.Kind.INSTANCE, name);
      default -> throw CommandErrors.wrongArguments(EXPECTED_ARGUMENTS, arguments);
    };
  }

  private static DrainRule placeRule(Inventory inventory, String name) throws CommandException {
    if (inventory.regions().stream().anyMatch(row -> row.name().equals(name))) {
      return new DrainRule(DrainRule.Kind.REGION, name);
    }
    requireFound(inventory.dataCentres().stream().anyMatch(row -> row.name().equals(name)), name);
    return new DrainRule(DrainRule.Kind.DATA_CENTRE, name);
  }

  private static void requireFound(boolean found, String name) throws CommandException {
    if (!found) {
      throw new CommandException(
          ExitCode.USAGE, "nothing named \"" + name + "\" in force; check the inventory's names");
    }
  }
}
