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
  public static Finding outOfRange(Location where, Number min, Number max, String actual) {
    return findingAt(where, "expected a value from " + min + " to " + max + "; found " + actual);
  }

  /** A text that is none of the allowed ones. */
  public static Finding notOneOf(Location where, Collection<?> allowed, String actual) {
    String names = allowed.stream().map(String::valueOf).collect(Collectors.joining(", "));
    return findingAt(where, "expected one of " + names + "; found \"" + actual + "\"");
  }

  /** A name with characters that headers and logs cannot carry. */
  public static Finding invalidName(Location where, String actual) {
    return findingAt(
        where,
        "expected a name of 1 to 63 lower-case letters, digits and inner hyphens; found \""
            + actual
            + "\"");
  }

  /** A host that is no IP number. */
  public static Finding notIpAddress(Location where, String actual) {
    return findingAt(where, "expected an IPv4 or IPv6 number; found \"" + actual + "\"");
  }

  /** A path prefix that a request path can never equal. */
  public static Finding notNormalizedPath(Location where, String actual) {
    return findingAt(
        where,
        "expected a normal path: leading slash, no trailing slash, no empty, \".\" or \"..\""
            + " segment, no escapes, query or fragment; found \""
            + actual
            + "\"");
  }

  /** A server that can never fill its slots. */
  public static Finding fewerConnectionsThanSlots(Location where, int slots, int connections) {
    return findingAt(
        where,
        "expected at least as many connections as the " + slots + " slots; found " + connections);
  }
}
