package org.bambooarch.cli;

/** The failure of a command: an exit code and a one-line message that says what to do. */
public final class CommandException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  /** Creates an exception without a cause. */
  public CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Creates an exception with the failure that caused it. */
  public CommandException(ExitCode exitCode, String message, Throwable cause) {
    super(message, cause);
    this.exitCode = exitCode;
  }

  /** Returns the code that the process exits with. */
  public ExitCode exitCode() {
    return exitCode;
  }
}
