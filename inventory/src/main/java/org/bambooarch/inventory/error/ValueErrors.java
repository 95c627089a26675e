package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import java.util.Collection;
import java.util.stream.Collectors;
import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Findings about single values. */
public final class ValueErrors {

  private ValueErrors() {}

  /** A number outside its range. */
  public static Finding outOfRange(Location location, Number min, Number max, String actual) {
    return findingAt(location, "expected a value from " + min + " to " + max + "; found " + actual);
  }

  /** A text that is none of the allowed ones. */
  public static Finding notOneOf(Location location, Collection<?> allowed, String actual) {
    String names = allowed.stream().map(String::valueOf).collect(Collectors.joining(", "));
    return findingAt(location, "expected one of " + names + "; found \"" + actual + "\"");
  }

  /** A name with characters that headers and logs cannot carry. */
  public static Finding invalidName(Location location, String actual) {
    return findingAt(
        location,
        "expected a name of 1 to 63 lower-case letters, digits and inner hyphens; found \""
            + actual
            + "\"");
  }

  /** A host that is no IP number. */
  public static Finding notIpAddress(Location location, String actual) {
    return findingAt(location, "expected an IPv4 or IPv6 number; found \"" + actual + "\"");
  }

  /** A path prefix that a request path can never equal. */
  public static Finding notNormalizedPath(Location location, String actual) {
    return findingAt(
        location,
        "expected a normal path: leading slash, no trailing slash, no empty, \".\" or \"..\""
            + " segment, no escapes, query or fragment; found \""
            + actual
            + "\"");
  }

  /** A server that can never fill its slots. */
  public static Finding fewerConnectionsThanSlots(Location location, int slots, int connections) {
    return findingAt(
        location,
        "expected at least as many connections as the " + slots + " slots; found " + connections);
  }
}
