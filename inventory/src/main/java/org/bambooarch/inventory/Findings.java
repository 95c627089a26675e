package org.bambooarch.inventory;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the findings of one validation, so that an operator sees all of them at once instead of
 * only the first. Not thread-safe.
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

  /** Creates a collector without findings. */
  public static Findings empty() {
    return new Findings();
  }

  /** Appends a finding; the order of addition is the order of the report. */
  public void add(Finding finding) {
    findings.add(finding);
  }

  /** Returns whether no finding was added so far. */
  public boolean isEmpty() {
    return findings.isEmpty();
  }

  /** Returns an immutable copy of the findings in the order in which they were added. */
  public List<Finding> asList() {
    return List.copyOf(findings);
  }

  /**
   * Fails the validation if there are findings; call it after the last check.
   *
   * @throws InvalidInventoryException with all findings, if at least one was added
   */
  public void throwIfAny() throws InvalidInventoryException {
    if (!findings.isEmpty()) {
      throw new InvalidInventoryException(findings);
    }
  }
}
