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
 * @param instance name of the instance, or of the file if no line so far told it
 * @param position number of the line in its file, from 1
 * @param time time of day of the instance, as written in this line or the last one before it
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

  /** Returns the fields of a line. */
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

  /** Returns the time that a line's fields tell, if there is a readable one. */
  static Optional<Instant> timeOf(Map<String, String> fields) {
    try {
      return Optional.ofNullable(fields.get("time"))
          .map(time -> OffsetDateTime.parse(time).toInstant());
    } catch (DateTimeException e) {
      // A line of another program; its place in the file still tells its order.
      return Optional.empty();
    }
  }

  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  String event() {
    return field("event");
  }
}
