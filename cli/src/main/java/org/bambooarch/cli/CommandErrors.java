package org.bambooarch.cli;

import java.io.IOException;
import java.net.BindException;
import java.nio.file.Path;
import java.util.List;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.store.PlatformException;

/** Creates the exceptions that several commands throw. */
public final class CommandErrors {

  private CommandErrors() {}

  /** Arguments are missing, superfluous or not among the allowed words. */
  public static CommandException wrongArguments(String expected, List<?> actual) {
    return new CommandException(
        ExitCode.USAGE, "expected " + expected + "; found " + actual + "; see --help");
  }

  /** The platform did not answer a read. */
  public static CommandException platformUnreachable(String uri, PlatformException cause) {
    return new CommandException(
        ExitCode.UNREACHABLE,
        "the platform at "
            + uri
            + " does not answer ("
            + cause.getMessage()
            + "); nothing was changed; check --platform and that the platform runs",
        cause);
  }

  /** The inventory or the settings file has findings, which the caller has printed. */
  public static CommandException invalidInventory(InvalidInventoryException cause) {
    int count = cause.findings().size();
    return new CommandException(
        ExitCode.INVALID,
        count
            + (count == 1 ? " finding" : " findings")
            + "; nothing was changed; correct the files",
        cause);
  }

  /** This version of the command cannot read the configuration stored on the platform. */
  public static CommandException storedConfigUnreadable(InvalidInventoryException cause) {
    return new CommandException(
        ExitCode.FAILED,
        "the stored configuration cannot be read; use the command of the version that wrote it: "
            + cause.getMessage(),
        cause);
  }

  /**
   * A socket could not be bound.
   *
   * @param what the server that failed to start, for the message
   * @param cause exception whose chain of causes is searched for the {@link BindException}
   */
  public static CommandException cannotListen(String what, Throwable cause) {
    Throwable root = cause;
    while (root.getCause() != null && !(root instanceof BindException)) {
      root = root.getCause();
    }
    return new CommandException(
        ExitCode.CANNOT_LISTEN,
        what + " cannot listen (" + root.getMessage() + "); free the port or choose another one",
        cause);
  }

  /**
   * An instance cannot listen.
   *
   * @param cause exception whose message names the address
   */
  public static CommandException instanceCannotListen(String instance, IOException cause) {
    return new CommandException(
        ExitCode.CANNOT_LISTEN,
        "instance "
            + instance
            + " cannot listen ("
            + cause.getMessage()
            + "); free the port or choose another one",
        cause);
  }

  /** Neither {@code --settings} nor the environment variable names a settings file. */
  public static CommandException settingsFileNotGiven(String variable) {
    return new CommandException(
        ExitCode.USAGE,
        "expected a settings file; give --settings or set the environment variable " + variable);
  }

  /** The platform's settings file cannot be opened or parsed. */
  public static CommandException settingsUnreadable(Path file, Exception cause) {
    return new CommandException(
        ExitCode.INVALID, "cannot read the settings " + file + ": " + cause.getMessage(), cause);
  }

  /** A log that was given as an argument cannot be read. */
  public static CommandException logUnreadable(Exception cause) {
    return new CommandException(ExitCode.USAGE, "cannot read a log: " + cause.getMessage(), cause);
  }
}
