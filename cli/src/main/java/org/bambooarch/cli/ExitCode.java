package org.bambooarch.cli;

/** The exit codes of the operators' command. */
public enum ExitCode {
  /** The command did what it was asked to. */
  DONE(0, "done"),
  /** The command ran and found something wrong, such as a request that was not answered. */
  FAILED(1, "the command ran, but its result is not as it should be"),
  /** The command line is wrong. */
  USAGE(2, "wrong command line"),
  /** The build tools are missing; given by the script and not by the program. */
  TOOLS_MISSING(3, "no JDK 25 or no Maven"),
  /** The inventory has findings; nothing was changed. */
  INVALID(4, "the inventory has findings; nothing was changed"),
  /** Another operator's change came first; nothing was changed. */
  CONFLICT(5, "another change came first; nothing was changed"),
  /** The platform or an instance cannot be reached; nothing was changed. */
  UNREACHABLE(6, "the platform or an instance does not answer; nothing was changed"),
  /** It is not known whether the change was accepted. */
  UNKNOWN(7, "it is not known whether the change was accepted"),
  /** A port is in use or an address cannot be listened on. */
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

  /** Returns one line for the help text. */
  public String meaning() {
    return meaning;
  }
}
