package org.bambooarch.inventory;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects findings, so that all of them are reported together.
 *
 * <pre>{@code
 * Findings findings = Findings.empty();
 * findings.add(finding);
 * findings.throwIfAny();
 * }</pre>
 */
public final class Findings {

  private final List<Finding> findings = new ArrayList<>();

  private Findings() {}

  /** Returns an empty collection. */
  public static Findings empty() {
    return new Findings();
  }

  /** Adds a finding. */
  public void add(Finding finding) {
    findings.add(finding);
  }

  /** Returns whether nothing was found. */
  public boolean isEmpty() {
    return findings.isEmpty();
  }

  /** Returns the findings in the order in which they were added. */
  public List<Finding> asList() {
    return List.copyOf(findings);
  }

  /**
   * Ends a validation.
   *
   * @throws InvalidInventoryException with all findings, if there is any
   */
  public void throwIfAny() throws InvalidInventoryException {
    if (!findings.isEmpty()) {
      throw new InvalidInventoryException(findings);
    }
  }
}
