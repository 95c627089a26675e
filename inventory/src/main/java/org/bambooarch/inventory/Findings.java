package org.bambooarch.inventory;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects findings, so that all of them are reported together.
 *
 * <pre>{@code
 * Findings findings = Findings.none();
 * findings.add(finding);
 * findings.throwIfAny();
 * }</pre>
 */
public final class Findings {

  private final List<Finding> all = new ArrayList<>();

  private Findings() {}

  /** Returns an empty collection. */
  public static Findings none() {
    return new Findings();
  }

  /** Adds a finding. */
  public void add(Finding finding) {
    all.add(finding);
  }

  /** Returns whether nothing was found. */
  public boolean isEmpty() {
    return all.isEmpty();
  }

  /** Returns the findings in the order in which they were added. */
  public List<Finding> asList() {
    return List.copyOf(all);
  }

  /**
   * Ends a validation.
   *
   * @throws InvalidInventoryException with all findings, if there is any
   */
  public void throwIfAny() throws InvalidInventoryException {
    if (!all.isEmpty()) {
      throw new InvalidInventoryException(all);
    }
  }
}
