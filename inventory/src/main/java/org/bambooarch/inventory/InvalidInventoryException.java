package org.bambooarch.inventory;

import java.util.List;
import java.util.stream.Collectors;

/** An inventory that cannot be accepted; carries all findings. */
public final class InvalidInventoryException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<Finding> findings;

  /** Creates the exception with at least one finding. */
  public InvalidInventoryException(List<Finding> findings) {
    super(describe(findings));
    this.findings = List.copyOf(findings);
  }

  /** Creates the exception for stored text that cannot be read at all. */
  public InvalidInventoryException(String message, Throwable cause) {
    super(message, cause);
    this.findings = List.of(new Finding("stored configuration", "", message));
  }

  /** Returns all findings in the order in which they were found. */
  public List<Finding> findings() {
    return findings;
  }

  private static String describe(List<Finding> findings) {
    String lines = findings.stream().map(Finding::toString).collect(Collectors.joining("\n"));
    return findings.size() + " findings\n" + lines;
  }
}
