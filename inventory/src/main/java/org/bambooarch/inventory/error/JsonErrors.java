package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.Locale;
import java.util.TreeSet;
import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Findings about JSON text, its fields and their types. */
public final class JsonErrors {

  private static final int MAX_SHOWN_CHARACTERS = 40;

  private JsonErrors() {}

  /** Text that is no JSON. */
  public static Finding malformedJson(Location location, int line, int column, String problem) {
    String firstLine = problem.lines().findFirst().orElse("unknown problem");
    return findingAt(location, "malformed JSON at " + line + ":" + column + ": " + firstLine);
  }

  /** A value of another JSON type. */
  public static Finding wrongType(Location location, String expected, JsonNode actual) {
    String type = actual.getNodeType().name().toLowerCase(Locale.ROOT);
    return findingAt(
        location, "expected " + expected + "; found " + type + " " + truncated(actual));
  }

  /** A required field that is not there. */
  public static Finding missingField(Location location, String field) {
    return findingAt(location, "expected field \"" + field + "\"; it is missing");
  }

  /** A field that nobody reads. */
  public static Finding unknownField(Location location, String field, Collection<String> known) {
    String names = String.join(", ", new TreeSet<>(known));
    return findingAt(location, "unknown field \"" + field + "\"; expected only " + names);
  }

  private static String truncated(JsonNode node) {
    String text = node.toString();
    return text.length() <= MAX_SHOWN_CHARACTERS
        ? text
        : text.substring(0, MAX_SHOWN_CHARACTERS) + "...";
  }
}
