package org.bambooarch.cli.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The lines that answer a question, in order.
 *
 * <p>Lines of one instance stay in the order in which it wrote them, also if its time of day jumps.
 * Between instances only their clocks tell an order, so lines that follow a line of another
 * instance are marked.
 *
 * @param lines the lines to show
 * @param conclusion what they mean, or what is missing
 */
record LogQueryResult(List<LogLine> lines, String conclusion) {

  private static final String CLOCK_ORDER_MARK = "~";

  /** Merges the lines of several instances, each of which is in order. */
  static List<LogLine> merge(List<List<LogLine>> files) {
    int[] nextIndexes = new int[files.size()];
    List<LogLine> merged = new ArrayList<>();
    for (int file = indexOfEarliest(files, nextIndexes);
        file >= 0;
        file = indexOfEarliest(files, nextIndexes)) {
      merged.add(files.get(file).get(nextIndexes[file]++));
    }
    return merged;
  }

  private static int indexOfEarliest(List<List<LogLine>> files, int[] nextIndexes) {
    int earliest = -1;
    for (int i = 0; i < nextIndexes.length; i++) {
      boolean hasLine = nextIndexes[i] < files.get(i).size();
      if (hasLine
          && (earliest < 0
              || isBefore(
                  files.get(i).get(nextIndexes[i]),
                  files.get(earliest).get(nextIndexes[earliest])))) {
        earliest = i;
      }
    }
    return earliest;
  }

  private static boolean isBefore(LogLine one, LogLine other) {
    if (one.time().isEmpty() || other.time().isEmpty()) {
      return one.time().isEmpty() && other.time().isPresent();
    }
    return one.time().get().isBefore(other.time().get());
  }

  /** Returns the text to print, a line each. */
  List<String> toLines() {
    List<String> printed = new ArrayList<>();
    Optional<String> previousInstance = Optional.empty();
    boolean hasInstanceChange = false;
    for (LogLine line : lines) {
      boolean isInstanceChange =
          previousInstance.isPresent() && !previousInstance.get().equals(line.instance());
      hasInstanceChange |= isInstanceChange;
      printed.add(
          "%s %s:%d %s"
              .formatted(
                  isInstanceChange ? CLOCK_ORDER_MARK : " ",
                  line.instance(),
                  line.position(),
                  line.text()));
      previousInstance = Optional.of(line.instance());
    }
    if (hasInstanceChange) {
      printed.add(
          "lines marked " + CLOCK_ORDER_MARK + ": only clocks order them after the line above");
    }
    printed.add(conclusion);
    return printed;
  }
}
