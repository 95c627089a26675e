package org.bambooarch.cli;

import org.bambooarch.cli.command.Commands;

/** Entry point of the {@code bambooarch} program, which runs operators' commands and daemons. */
public final class Main {

  private Main() {}

  /** Runs one command and ends the process with its exit code. */
  public static void main(String[] args) {
    ExitCode exitCode = CommandLine.of(Commands.all()).run(args, Console.ofProcess());
    System.exit(exitCode.code());
  }
}
