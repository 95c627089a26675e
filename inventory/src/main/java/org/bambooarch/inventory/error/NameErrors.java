package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Findings about names and the entries that they refer to. */
public final class NameErrors {

  private NameErrors() {}

  /** A name, or another identifying value, that an earlier entry already has. */
  public static Finding duplicate(
      Location location, String kind, String value, Location firstLocation) {
    return findingAt(
        location,
        "expected a unique " + kind + "; \"" + value + "\" is already at " + firstLocation);
  }

  /** A reference to an entry that does not exist. */
  public static Finding unresolvedReference(Location location, String kind, String name) {
    return findingAt(
        location, "expected the name of a " + kind + "; no " + kind + " \"" + name + "\"");
  }

  /** An entry that nothing serves. */
  public static Finding missingRequiredEntry(
      Location location, String kind, String name, String requiredKind) {
    return findingAt(
        location,
        "expected at least one " + requiredKind + " for " + kind + " \"" + name + "\"; found none");
  }
}
