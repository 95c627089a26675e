package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Findings about the address blocks of callers. */
public final class ClientBlockErrors {

  private ClientBlockErrors() {}

  /** A text that is no address block. */
  public static Finding invalidCidr(Location location, String actual, String problem) {
    return findingAt(
        location,
        "expected an address block such as 10.1.0.0/16 or 2001:db8::/32; found \""
            + actual
            + "\" ("
            + problem
            + ")");
  }

  /** Two blocks of the same addresses. */
  public static Finding duplicateBlock(
      Location location, String cidr, String dataCentre, Location firstLocation) {
    return findingAt(
        location,
        "expected a block of its own; "
            + cidr
            + " for "
            + dataCentre
            + " is already at "
            + firstLocation);
  }

  /** A block inside another one that is not declared as its exception. */
  public static Finding undeclaredOverlap(
      Location location, String cidr, String outerCidr, Location outerLocation) {
    return findingAt(
        location,
        "expected no overlap, or \"exceptionTo\": \""
            + outerCidr
            + "\" where it is meant; "
            + cidr
            + " lies inside "
            + outerCidr
            + " at "
            + outerLocation);
  }

  /** An exception that does not name the narrowest block around it. */
  public static Finding wrongExceptionTo(Location location, String declared, String actual) {
    return findingAt(
        location,
        "expected the narrowest block around this one, "
            + (actual.isEmpty() ? "but there is none" : actual)
            + "; found \""
            + declared
            + "\"");
  }
}
