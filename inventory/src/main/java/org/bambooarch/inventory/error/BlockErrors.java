package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Findings about the address blocks of callers. */
public final class BlockErrors {

  private BlockErrors() {}

  /** A text that is no address block. */
  public static Finding notBlock(Location where, String actual, String problem) {
    return findingAt(
        where,
        "expected an address block such as 10.1.0.0/16 or 2001:db8::/32; found \""
            + actual
            + "\" ("
            + problem
            + ")");
  }

  /** Two blocks of the same addresses. */
  public static Finding sameBlock(Location where, String cidr, String place, Location first) {
    return findingAt(
        where,
        "expected a block of its own; " + cidr + " for " + place + " is already at " + first);
  }

  /** A block inside another one that is not declared as its exception. */
  public static Finding overlappingBlock(Location where, String cidr, String outer, Location at) {
    return findingAt(
        where,
        "expected no overlap, or \"exceptionTo\": \""
            + outer
            + "\" where it is meant; "
            + cidr
            + " lies inside "
            + outer
            + " at "
            + at);
  }

  /** An exception that does not name the narrowest block around it. */
  public static Finding wrongException(Location where, String declared, String actual) {
    return findingAt(
        where,
        "expected the narrowest block around this one, "
            + (actual.isEmpty() ? "but there is none" : actual)
            + "; found \""
            + declared
            + "\"");
  }
}
