package org.bambooarch.cli.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads the log of one process. */
final class LogFile {

  /** Instance name in the lines of the warm-up, which are left out. */
  private static final String REHEARSAL_INSTANCE = "rehearsal";

  private LogFile() {}

  /**
   * Reads all lines that have an {@code event} field, except those of the warm-up.
   *
   * @param name name of the instance for the lines before the first that states it
   */
  static List<LogLine> read(String name, BufferedReader reader) throws IOException {
    List<LogLine> lines = new ArrayList<>();
    String instance = name;
    Optional<Instant> time = Optional.empty();
    int position = 0;
    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
      position++;
      Map<String, String> fields = LogLine.fieldsOf(text);
      if (!fields.containsKey("event")) {
        continue;
      }
      instance = Optional.ofNullable(fields.get("instance")).orElse(instance);
      Optional<Instant> lineTime = LogLine.timeOf(fields);
      time = lineTime.isPresent() ? lineTime : time;
      if (!instance.equals(REHEARSAL_INSTANCE)) {
        lines.add(new LogLine(instance, position, time, fields, text));
      }
    }
    return lines;
  }
}
