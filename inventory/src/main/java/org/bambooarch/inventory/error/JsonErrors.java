package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.Locale;
import java.util.TreeSet;
import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Creates findings about JSON syntax, fields and types. */
public final class JsonErrors {

  private static final int MAX_SHOWN_CHARACTERS = 40;

  private JsonErrors() {}

  /** Reports text that is not valid JSON, with line and column counted from one. */
  public static Finding malformedJson(Location location, int line, int column, String problem) {
    String firstLine = problem.lines().findFirst().orElse("unknown problem");
    return findingAt(location, "malformed JSON at " + line + ":" + column + ": " + firstLine);
  }

  /** Reports a value of another JSON type than expected, and shows its first 40 characters. */
  public static Finding wrongType(Location location, String expected, JsonNode actual) {
    String type = actual.getNodeType().name().toLowerCase(Locale.ROOT);
    return findingAt(
        location, "expected " + expected + "; found " + type + " " + truncated(actual));
  }

  /** Reports that an object lacks a required field. */
  public static Finding missingField(Location location, String field) {
    return findingAt(location, "expected field \"" + field + "\"; it is missing");
  }

  /** Reports a field whose name is none of the known field names. */
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
