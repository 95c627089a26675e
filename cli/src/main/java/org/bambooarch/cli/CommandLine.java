package org.bambooarch.cli;

import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Runs the command that the first argument names: parses its options and prints its errors.
 *
 * <pre>{@code
 * int exitCode = CommandLine.of(Commands.all()).run(args, Console.ofProcess()).code();
 * }</pre>
 */
public final class CommandLine {

  private static final String PROGRAM = "bambooarch";
  private static final List<String> HELP_FLAGS = List.of("--help", "-h", "help");

  private final Map<String, Command> commandsByName = new LinkedHashMap<>();

  private CommandLine(List<Command> commands) {
    for (Command command : commands) {
      commandsByName.put(command.name(), command);
    }
  }

  /** Returns a command line with the given commands, which the help lists in this order. */
  public static CommandLine of(List<Command> commands) {
    return new CommandLine(commands);
  }

  /**
   * Runs the command that the first argument names.
   *
   * @param args arguments of the process; without any, the help is printed as a usage error
   */
  public ExitCode run(String[] args, Console console) {
    if (args.length == 0 || HELP_FLAGS.contains(args[0])) {
      printHelp(console);
      return args.length == 0 ? ExitCode.USAGE : ExitCode.DONE;
    }
    Command command = commandsByName.get(args[0]);
    if (command == null) {
      console.printError(
          PROGRAM + ": unknown command \"" + args[0] + "\"; see " + PROGRAM + " --help");
      return ExitCode.USAGE;
    }
    return run(command, Arrays.copyOfRange(args, 1, args.length), console);
  }

  private static ExitCode run(Command command, String[] args, Console console) {
    OptionParser parser = new OptionParser();
    parser.accepts("help", "print this help").forHelp();
    command.declareOptions(parser);
    try {
      OptionSet options = parser.parse(args);
      if (options.has("help")) {
        printHelp(command, parser, console);
        return ExitCode.DONE;
      }
      return command.run(options, console);
    } catch (OptionException e) {
      reportError(command, e.getMessage() + "; see --help", console);
      return ExitCode.USAGE;
    } catch (CommandException e) {
      reportError(command, e.getMessage(), console);
      return e.exitCode();
    }
  }

  private static void reportError(Command command, String message, Console console) {
    console.printError(PROGRAM + " " + command.name() + ": " + message);
  }

  private void printHelp(Console console) {
    console.printLine("usage: " + PROGRAM + " COMMAND [ARGUMENTS] [OPTIONS]");
    console.printLine("");
    for (Command command : commandsByName.values()) {
      console.printLine("  %-17s %s", command.name(), command.summary());
    }
    console.printLine("");
    console.printLine("exit codes:");
    for (ExitCode code : ExitCode.values()) {
      console.printLine("  %d  %s", code.code(), code.meaning());
    }
    console.printLine("");
    console.printLine("%s COMMAND --help prints the options of a command", PROGRAM);
  }

  private static void printHelp(Command command, OptionParser parser, Console console) {
    console.printLine("usage: %s %s %s", PROGRAM, command.name(), command.arguments());
    console.printLine(command.summary());
    console.printLine("");
    try {
      parser.printHelpOn(console.out());
    } catch (IOException e) {
      console.printError(PROGRAM + ": cannot print the help: " + e.getMessage());
    }
  }
}
