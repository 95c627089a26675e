package org.bambooarch.cli;

/** The exit codes of the {@code bambooarch} program. */
public enum ExitCode {
  /** The command succeeded. */
  DONE(0, "done"),
  /** The command ran and reports a failure, such as a request that was not answered. */
  FAILED(1, "the command ran and reports a failure"),
  /** The command, an option or an argument is wrong or missing. */
  USAGE(2, "wrong command line"),
  /** The build tools are missing. Only the start script exits with this code. */
  TOOLS_MISSING(3, "no JDK 25 or no Maven"),
  /** The inventory or a settings file is invalid; nothing was changed. */
  INVALID(4, "the inventory has findings; nothing was changed"),
  /** Another operator's change took the expected version; nothing was changed. */
  CONFLICT(5, "another change came first; nothing was changed"),
  /** The platform or an instance did not answer; nothing was changed. */
  UNREACHABLE(6, "the platform or an instance does not answer; nothing was changed"),
  /** The platform's answer to a change was lost; the change may have been accepted. */
  UNKNOWN(7, "it is not known whether the change was accepted"),
  /** A socket could not be bound, for example because the port is in use. */
  CANNOT_LISTEN(8, "a port is in use or an address cannot be listened on");

  private final int code;
  private final String meaning;

  ExitCode(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  /** Returns the number that the process exits with. */
  public int code() {
    return code;
  }

  /** Returns the explanation of the code for the help text. */
  public String meaning() {
    return meaning;
  }
}
