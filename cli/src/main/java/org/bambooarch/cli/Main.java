package org.bambooarch.cli;

import org.bambooarch.cli.command.Commands;

/** Entry point of the operators' command and of the daemons that it starts. */
public final class Main {

  private Main() {}

  /** Runs one command and exits with its code. */
  public static void main(String[] args) {
    ExitCode exitCode = CommandLine.of(Commands.all()).run(args, Console.ofProcess());
    System.exit(exitCode.code());
  }
}
