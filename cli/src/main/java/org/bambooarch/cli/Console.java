package org.bambooarch.cli;

import java.io.PrintStream;

/**
 * The streams that a command prints to.
 *
 * @param out stream for results, normally the standard output
 * @param err stream for errors, normally the standard error
 */
public record Console(PrintStream out, PrintStream err) {

  /** Returns a console on the standard output and standard error of this process. */
  public static Console ofProcess() {
    return new Console(System.out, System.err);
  }

  /**
   * Prints a line of the result.
   *
   * @param format a format string, or a plain line if there are no arguments
   */
  public void printLine(String format, Object... args) {
    out.println(args.length == 0 ? format : format.formatted(args));
  }

  /** Prints a line about an error, as it is. */
  public void printError(String line) {
    err.println(line);
  }
}
