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
  static List<String> exactly(int count, String expected, OptionSet options)
      throws CommandException {
    List<String> arguments = options.nonOptionArguments().stream().map(String::valueOf).toList();
    if (arguments.size() != count) {
      throw CommandErrors.wrongArguments(expected, arguments);
    }
    return arguments;
  }

  /** Reads the inventory directory that is the only argument and prints its findings. */
  static Inventory inventory(OptionSet options, Console console) throws CommandException {
    String directory = exactly(1, "one inventory directory", options).getFirst();
    return inventory(Path.of(directory), console);
  }

  /** Reads an inventory directory and prints its findings. */
  static Inventory inventory(Path directory, Console console) throws CommandException {
    try {
      return InventoryDirectory.read(directory);
    } catch (InvalidInventoryException e) {
      throw printed(e, console);
    }
  }

  /** Reads the settings file that an option names and prints its findings. */
  static <T extends Record> T settings(OptionSet options, Class<T> type, Console console)
      throws CommandException {
    try {
      return SettingsFile.read(Path.of((String) options.valueOf(SETTINGS)), type);
    } catch (InvalidInventoryException e) {
      throw printed(e, console);
    }
  }

  private static CommandException printed(InvalidInventoryException cause, Console console) {
    for (Finding finding : cause.findings()) {
      console.error(finding.toString());
    }
    return CommandErrors.invalidInventory(cause);
  }
}
