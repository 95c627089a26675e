package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Creates findings about names, references and entries that lack a required counterpart. */
public final class NameErrors {

  private NameErrors() {}

  /** Reports a name, or another identifying value, that an earlier entry already has. */
  public static Finding duplicate(
      Location location, String kind, String value, Location firstLocation) {
    return findingAt(
        location,
        "expected a unique " + kind + "; \"" + value + "\" is already at " + firstLocation);
  }

  /** Reports a reference to an entry that does not exist. */
  public static Finding unresolvedReference(Location location, String kind, String name) {
    return findingAt(
        location, "expected the name of a " + kind + "; no " + kind + " \"" + name + "\"");
  }

  /**
   * Reports an entry without the other entries that it needs, such as a service without a server or
   * a route.
   *
   * @param requiredKind kind of entry of which at least one must exist
   */
  public static Finding missingRequiredEntry(
      Location location, String kind, String name, String requiredKind) {
    return findingAt(
        location,
        "expected at least one " + requiredKind + " for " + kind + " \"" + name + "\"; found none");
  }
}
