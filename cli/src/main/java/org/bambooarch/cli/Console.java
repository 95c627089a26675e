package org.bambooarch.cli;

import java.io.PrintStream;

/**
 * Where a command prints.
 *
 * @param out results
 * @param err errors
 */
public record Console(PrintStream out, PrintStream err) {

  /** Returns the console of the process. */
  public static Console ofProcess() {
    return new Console(System.out, System.err);
  }

  /** Prints a line of the result. */
  public void printLine(String format, Object... args) {
    out.println(args.length == 0 ? format : format.formatted(args));
  }

  /** Prints a line of an error. */
  public void printError(String line) {
    err.println(line);
  }
}
