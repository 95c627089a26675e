package org.bambooarch.cli;

import java.net.BindException;
import java.nio.file.Path;
import java.util.List;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.store.PlatformException;

/** Factories of the errors that commands end with. */
public final class CommandErrors {

  private CommandErrors() {}

  /** The command line misses an argument or has one too many. */
  public static CommandException wrongArguments(String expected, List<?> actual) {
    return new CommandException(
        ExitCode.USAGE, "expected " + expected + "; found " + actual + "; see --help");
  }

  /** The platform does not answer a read. */
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

  /** The inventory has findings. */
  public static CommandException invalidInventory(InvalidInventoryException cause) {
    int count = cause.findings().size();
    return new CommandException(
        ExitCode.INVALID,
        count + (count == 1 ? " finding" : " findings") + "; nothing was changed; mend the files",
        cause);
  }

  /** The stored configuration cannot be read by this version of the command. */
  public static CommandException storedConfigUnreadable(InvalidInventoryException cause) {
    return new CommandException(
        ExitCode.FAILED,
        "the stored configuration cannot be read; use the command of the version that wrote it: "
            + cause.getMessage(),
        cause);
  }

  /** An address cannot be listened on. */
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

  /** Neither an option nor the environment names a settings file. */
  public static CommandException settingsFileNotGiven(String variable) {
    return new CommandException(
        ExitCode.USAGE,
        "expected a settings file; give --settings or set the environment variable " + variable);
  }

  /** The platform's settings file cannot be read. */
  public static CommandException settingsUnreadable(Path file, Exception cause) {
    return new CommandException(
        ExitCode.INVALID, "cannot read the settings " + file + ": " + cause.getMessage(), cause);
  }

  /** A log file cannot be read. */
  public static CommandException logUnreadable(Exception cause) {
    return new CommandException(ExitCode.USAGE, "cannot read a log: " + cause.getMessage(), cause);
  }
}
