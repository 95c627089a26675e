package org.bambooarch.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand of the {@code bambooarch} program, such as {@code validate}. */
public interface Command {

  /** Returns the name by which the first word of the command line selects this command. */
  String name();

  /** Returns the syntax of the arguments after the name, for the help text; empty for none. */
  String arguments();

  /** Returns one line for the help text that says what the command does. */
  String summary();

  /** Adds the command's options to a parser; {@code --help} is already declared. */
  void declareOptions(OptionParser options);

  /**
   * Runs the command with its parsed options.
   *
   * @return {@link ExitCode#DONE}, or another code if the command has already printed why
   * @throws CommandException if the command fails; the caller prints the message
   */
  ExitCode run(OptionSet options, Console console) throws CommandException;
}
