package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Creates findings about client address blocks. */
public final class ClientBlockErrors {

  private ClientBlockErrors() {}

  /** Reports text that is not a valid address block in CIDR notation. */
  public static Finding invalidCidr(Location location, String actual, String problem) {
    return findingAt(
        location,
        "expected an address block such as 10.1.0.0/16 or 2001:db8::/32; found \""
            + actual
            + "\" ("
            + problem
            + ")");
  }

  /** Reports a block that has the same addresses as an earlier one. */
  public static Finding duplicateBlock(
      Location location, String cidr, String dataCentre, Location firstLocation) {
    return findingAt(
        location,
        "expected a unique client block; "
            + cidr
            + " for "
            + dataCentre
            + " is already at "
            + firstLocation);
  }

  /**
   * Reports a block that lies inside another one and does not declare that with {@code
   * exceptionTo}.
   */
  public static Finding undeclaredOverlap(
      Location location, String cidr, String outerCidr, Location outerLocation) {
    return findingAt(
        location,
        "expected no overlap, or \"exceptionTo\": \""
            + outerCidr
            + "\" if the overlap is intended; "
            + cidr
            + " lies inside "
            + outerCidr
            + " at "
            + outerLocation);
  }

  /**
   * Reports an {@code exceptionTo} that does not name the narrowest enclosing block.
   *
   * @param actual the narrowest enclosing block; empty if there is none
   */
  public static Finding wrongExceptionTo(Location location, String declared, String actual) {
    return findingAt(
        location,
        "expected the narrowest block that encloses this one, "
            + (actual.isEmpty() ? "but there is none" : actual)
            + "; found \""
            + declared
            + "\"");
  }
}
