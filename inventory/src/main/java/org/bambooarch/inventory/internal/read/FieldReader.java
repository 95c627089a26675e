package org.bambooarch.inventory.internal.read;

import static org.bambooarch.inventory.error.JsonErrors.missingField;
import static org.bambooarch.inventory.error.JsonErrors.unknownField;
import static org.bambooarch.inventory.error.JsonErrors.wrongType;
import static org.bambooarch.inventory.error.ValueErrors.notOneOf;
import static org.bambooarch.inventory.error.ValueErrors.outOfRange;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.Location;

/**
 * Reads the fields of one JSON object and reports missing, unknown and invalid ones.
 *
 * <p>A field that cannot be read yields an empty string, an empty list, false, the minimum of its
 * range or the first constant of its enum, so that reading continues and most later checks do not
 * report the same error again.
 */
final class FieldReader {

  private final JsonNode node;
  private final Location location;
  private final Findings findings;
  private final Set<String> knownFields = new HashSet<>();

  private FieldReader(JsonNode node, Location location, Findings findings) {
    this.node = node;
    this.location = location;
    this.findings = findings;
  }

  /** Returns a reader; a node that is not an object is reported and read as if it had no fields. */
  static FieldReader of(JsonNode node, Location location, Findings findings) {
    if (!node.isObject()) {
      findings.add(wrongType(location, "an object", node));
    }
    return new FieldReader(node, location, findings);
  }

  Location location() {
    return location;
  }

  Location location(String field) {
    return location.child(field);
  }

  boolean has(String field) {
    return node.has(field);
  }

  String string(String field) {
    JsonNode value = requiredField(field);
    if (value == null) {
      return "";
    }
    if (!value.isTextual()) {
      findings.add(wrongType(location(field), "a string", value));
      return "";
    }
    return value.textValue();
  }

  String stringOrEmpty(String field) {
    knownFields.add(field);
    return has(field) ? string(field) : "";
  }

  boolean bool(String field) {
    JsonNode value = requiredField(field);
    if (value == null) {
      return false;
    }
    if (!value.isBoolean()) {
      findings.add(wrongType(location(field), "true or false", value));
      return false;
    }
    return value.booleanValue();
  }

  boolean boolOrFalse(String field) {
    knownFields.add(field);
    return has(field) && bool(field);
  }

  long wholeNumber(String field, long min, long max) {
    JsonNode value = requiredField(field);
    if (value == null) {
      return min;
    }
    if (!value.isIntegralNumber()) {
      findings.add(wrongType(location(field), "a whole number", value));
      return min;
    }
    if (!value.canConvertToLong() || value.longValue() < min || value.longValue() > max) {
      findings.add(outOfRange(location(field), min, max, value.asText()));
      return min;
    }
    return value.longValue();
  }

  double number(String field, double min, double max) {
    JsonNode value = requiredField(field);
    if (value == null) {
      return min;
    }
    if (!value.isNumber()) {
      findings.add(wrongType(location(field), "a number", value));
      return min;
    }
    double number = value.doubleValue();
    if (number < min || number > max) {
      findings.add(outOfRange(location(field), min, max, value.asText()));
      return min;
    }
    return number;
  }

  <E extends Enum<E>> E enumConstant(String field, Class<E> type) {
    List<E> constants = List.of(type.getEnumConstants());
    String name = string(field);
    for (E constant : constants) {
      if (constant.name().equals(name)) {
        return constant;
      }
    }
    if (!name.isEmpty()) {
      findings.add(notOneOf(location(field), constants, name));
    }
    return constants.getFirst();
  }

  /** Returns a reader for each element of a required array field. */
  List<FieldReader> objects(String field) {
    List<FieldReader> readers = new ArrayList<>();
    for (JsonNode element : requiredArray(field)) {
      readers.add(of(element, location(field).child(readers.size()), findings));
    }
    return readers;
  }

  /** Returns the strings of a required array field; reports and skips other elements. */
  List<String> strings(String field) {
    List<String> strings = new ArrayList<>();
    int index = 0;
    for (JsonNode element : requiredArray(field)) {
      if (element.isTextual()) {
        strings.add(element.textValue());
      } else {
        findings.add(wrongType(location(field).child(index), "a string", element));
      }
      index++;
    }
    return strings;
  }

  /** Reports the fields that were never asked for; call it after all known fields were read. */
  void reportUnknownFields() {
    Iterator<String> names = node.fieldNames();
    while (names.hasNext()) {
      String name = names.next();
      if (!knownFields.contains(name)) {
        findings.add(unknownField(location(name), name, knownFields));
      }
    }
  }

  private Iterable<JsonNode> requiredArray(String field) {
    JsonNode value = requiredField(field);
    if (value == null) {
      return List.of();
    }
    if (!value.isArray()) {
      findings.add(wrongType(location(field), "an array", value));
      return List.of();
    }
    return value;
  }

  private JsonNode requiredField(String field) {
    knownFields.add(field);
    JsonNode value = node.get(field);
    if (value == null && node.isObject()) {
      findings.add(missingField(location, field));
    }
    return value;
  }
}
