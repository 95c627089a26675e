package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import java.util.Collection;
import java.util.stream.Collectors;
import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Creates findings about single values. */
public final class ValueErrors {

  private ValueErrors() {}

  /** Reports a number outside its range; both bounds are inclusive. */
  public static Finding outOfRange(Location location, Number min, Number max, String actual) {
    return findingAt(location, "expected a value from " + min + " to " + max + "; found " + actual);
  }

  /** Reports a string that is none of the allowed values. */
  public static Finding notOneOf(Location location, Collection<?> allowed, String actual) {
    String names = allowed.stream().map(String::valueOf).collect(Collectors.joining(", "));
    return findingAt(location, "expected one of " + names + "; found \"" + actual + "\"");
  }

  /**
   * Reports a malformed name. Names are short and consist only of characters that HTTP headers and
   * logs can carry.
   */
  public static Finding invalidName(Location location, String actual) {
    return findingAt(
        location,
        "expected a name of 1 to 63 lower-case letters, digits and inner hyphens; found \""
            + actual
            + "\"");
  }

  /** Reports a host that is not an IP address. */
  public static Finding notIpAddress(Location location, String actual) {
    return findingAt(location, "expected an IPv4 or IPv6 address; found \"" + actual + "\"");
  }

  /** Reports a path prefix that no request path can match, because it is not normalized. */
  public static Finding notNormalizedPath(Location location, String actual) {
    return findingAt(
        location,
        "expected a normalized path: leading slash, no trailing slash, no empty, \".\" or \"..\""
            + " segment, no escapes, query or fragment; found \""
            + actual
            + "\"");
  }

  /** Reports a server whose connection limit is too low to fill all of its slots. */
  public static Finding fewerConnectionsThanSlots(Location location, int slots, int connections) {
    return findingAt(
        location,
        "expected at least as many connections as the " + slots + " slots; found " + connections);
  }
}
