package org.bambooarch.cli.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The lines that match a query, in the order in which they are printed.
 *
 * <p>Lines of one instance keep the order in which it wrote them, even if its clock jumps. The
 * order of lines of different instances depends on their clocks, so each line that follows a line
 * of another instance is marked.
 *
 * @param lines the lines to print
 * @param conclusion what follows from the lines, or that there are none
 */
record LogQueryResult(List<LogLine> lines, String conclusion) {

  private static final String CLOCK_ORDER_MARK = "~";

  /** Merges the lines of several files by time; the lines of each file keep their order. */
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

  /** Returns the file whose next line is the earliest, or -1 if all files are at their end. */
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

  /** Compares by time; a line without a time comes before all lines that have one. */
  private static boolean isBefore(LogLine one, LogLine other) {
    if (one.time().isEmpty() || other.time().isEmpty()) {
      return one.time().isEmpty() && other.time().isPresent();
    }
    return one.time().get().isBefore(other.time().get());
  }

  /** Returns the lines to print: the marked log lines, a legend of the mark, the conclusion. */
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
          "lines marked "
              + CLOCK_ORDER_MARK
              + ": placed after the line above by the instances' clocks only");
    }
    printed.add(conclusion);
    return printed;
  }
}
