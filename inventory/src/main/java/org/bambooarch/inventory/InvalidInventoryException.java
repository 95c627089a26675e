package org.bambooarch.inventory;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown when an inventory, a settings file or a stored configuration is invalid or cannot be read.
 */
public final class InvalidInventoryException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<Finding> findings;

  /** Creates the exception for one or more findings; its message lists one finding on each line. */
  public InvalidInventoryException(List<Finding> findings) {
    super(describe(findings));
    this.findings = List.copyOf(findings);
  }

  /**
   * Creates the exception for a stored configuration that cannot be parsed at all. Its only finding
   * has the given message and no JSON pointer.
   */
  public InvalidInventoryException(String message, Throwable cause) {
    super(message, cause);
    this.findings = List.of(new Finding("stored configuration", "", message));
  }

  /** Returns all findings, at least one, in the order in which they were found. */
  public List<Finding> findings() {
    return findings;
  }

  private static String describe(List<Finding> findings) {
    String lines = findings.stream().map(Finding::toString).collect(Collectors.joining("\n"));
    return findings.size() + " findings\n" + lines;
  }
}
