package org.bambooarch.cli;

/** A command that ends early, with one line that says what to do. */
public final class CommandException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  /** Creates the exception with the code that the process exits with. */
  public CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Creates the exception with the failure behind it. */
  public CommandException(ExitCode exitCode, String message, Throwable cause) {
    super(message, cause);
    this.exitCode = exitCode;
  }

  /** Returns the code that the process exits with. */
  public ExitCode exitCode() {
    return exitCode;
  }
}
