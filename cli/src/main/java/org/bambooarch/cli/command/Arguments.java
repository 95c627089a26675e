package org.bambooarch.cli.command;

import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionSet;
import org.bambooarch.cli.CommandErrors;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.config.SettingsFile;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.inventory.InventoryDirectory;

/** Reads what several commands take as arguments. */
final class Arguments {

  static final String SETTINGS = "settings";

  private Arguments() {}

  /** Returns the arguments without a leading dash, which must be as many as expected. */
  static List<String> positional(int count, String expected, OptionSet options)
      throws CommandException {
    List<String> arguments = options.nonOptionArguments().stream().map(String::valueOf).toList();
    if (arguments.size() != count) {
      throw CommandErrors.wrongArguments(expected, arguments);
    }
    return arguments;
  }

  /** Reads the inventory directory that is the only argument and prints its findings. */
  static Inventory readInventory(OptionSet options, Console console) throws CommandException {
    String directory = positional(1, "one inventory directory", options).getFirst();
    return readInventory(Path.of(directory), console);
  }

  /** Reads an inventory directory and prints its findings. */
  static Inventory readInventory(Path directory, Console console) throws CommandException {
    try {
      return InventoryDirectory.read(directory);
    } catch (InvalidInventoryException e) {
      throw printFindings(e, console);
    }
  }

  /** Reads the settings file that an option names and prints its findings. */
  static <T extends Record> T readSettings(OptionSet options, Class<T> type, Console console)
      throws CommandException {
    try {
      return SettingsFile.read(Path.of((String) options.valueOf(SETTINGS)), type);
    } catch (InvalidInventoryException e) {
      throw printFindings(e, console);
    }
  }

  private static CommandException printFindings(InvalidInventoryException cause, Console console) {
    for (Finding finding : cause.findings()) {
      console.printError(finding.toString());
    }
    return CommandErrors.invalidInventory(cause);
  }
}
