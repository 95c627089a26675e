package org.bambooarch.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** One command of the command line, such as {@code validate}. */
public interface Command {

  /** Returns the name, the first word of the command line. */
  String name();

  /** Returns the arguments after the name, for the help text. */
  String arguments();

  /** Returns what the command does, in one line. */
  String summary();

  /** Declares the options of the command. */
  void declareOptions(OptionParser options);

  /**
   * Runs the command.
   *
   * @return {@link ExitCode#DONE}, or another code if the result was printed already
   * @throws CommandException if the command ends early
   */
  ExitCode run(OptionSet options, Console console) throws CommandException;
}
