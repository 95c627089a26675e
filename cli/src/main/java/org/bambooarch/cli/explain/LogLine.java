package org.bambooarch.cli.explain;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of an instance's log.
 *
 * @param instance name of the instance, or of the file if no line so far stated the instance
 * @param position line number in the file, from 1
 * @param time time in this line or, if it has none, in the last line before it that has one; by the
 *     clock of the instance
 * @param fields the line's {@code key=value} pairs, without quotes
 * @param text the line as it was read
 */
record LogLine(
    String instance,
    int position,
    Optional<Instant> time,
    Map<String, String> fields,
    String text) {

  private static final Pattern FIELD = Pattern.compile("([a-z][a-z-]*)=(\"[^\"]*\"|\\S*)");

  /** Parses the fields of a line; of a repeated key the first value counts. */
  static Map<String, String> fieldsOf(String line) {
    Map<String, String> fields = new LinkedHashMap<>();
    Matcher matcher = FIELD.matcher(line);
    while (matcher.find()) {
      String value = matcher.group(2);
      boolean quoted = value.length() >= 2 && value.startsWith("\"");
      fields.putIfAbsent(matcher.group(1), quoted ? value.substring(1, value.length() - 1) : value);
    }
    return fields;
  }

  /**
   * Returns the value of the {@code time} field, or empty if there is none or it is not ISO 8601.
   */
  static Optional<Instant> timeOf(Map<String, String> fields) {
    try {
      return Optional.ofNullable(fields.get("time"))
          .map(time -> OffsetDateTime.parse(time).toInstant());
    } catch (DateTimeException e) {
      // Perhaps a line of another program; its position in the file still gives its order.
      return Optional.empty();
    }
  }

  /** Returns the value of a field, or an empty string if the line does not have it. */
  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  String event() {
    return field("event");
  }
}
