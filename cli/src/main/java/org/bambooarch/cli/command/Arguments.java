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

/** Reads the arguments that several commands have in common. */
final class Arguments {

  static final String SETTINGS = "settings";

  private Arguments() {}

  /**
   * Returns the positional arguments, those that are neither options nor values of options.
   *
   * @param expected what the arguments should be, for the error message
   * @throws CommandException if their number is not {@code count}
   */
  static List<String> positional(int count, String expected, OptionSet options)
      throws CommandException {
    List<String> arguments = options.nonOptionArguments().stream().map(String::valueOf).toList();
    if (arguments.size() != count) {
      throw CommandErrors.wrongArguments(expected, arguments);
    }
    return arguments;
  }

  /**
   * Reads the inventory from the directory that is the only positional argument.
   *
   * @throws CommandException if the inventory is invalid; its findings have been printed
   */
  static Inventory readInventory(OptionSet options, Console console) throws CommandException {
    String directory = positional(1, "one inventory directory", options).getFirst();
    return readInventory(Path.of(directory), console);
  }

  /**
   * Reads the inventory from a directory.
   *
   * @throws CommandException if the inventory is invalid; its findings have been printed
   */
  static Inventory readInventory(Path directory, Console console) throws CommandException {
    try {
      return InventoryDirectory.read(directory);
    } catch (InvalidInventoryException e) {
      throw printFindings(e, console);
    }
  }

  /**
   * Reads the file that {@code --settings} names.
   *
   * @throws CommandException if the file cannot be read, or if its content is invalid; in the
   *     latter case its findings have been printed
   */
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
