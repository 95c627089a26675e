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
record Story(List<LogLine> lines, String conclusion) {

  private static final String BY_CLOCK = "~";

  /** Merges the lines of several instances, each of which is in order. */
  static List<LogLine> merge(List<List<LogLine>> files) {
    int[] next = new int[files.size()];
    List<LogLine> merged = new ArrayList<>();
    for (int file = earliest(files, next); file >= 0; file = earliest(files, next)) {
      merged.add(files.get(file).get(next[file]++));
    }
    return merged;
  }

  private static int earliest(List<List<LogLine>> files, int[] next) {
    int best = -1;
    for (int i = 0; i < next.length; i++) {
      boolean more = next[i] < files.get(i).size();
      if (more
          && (best < 0 || isBefore(files.get(i).get(next[i]), files.get(best).get(next[best])))) {
        best = i;
      }
    }
    return best;
  }

  private static boolean isBefore(LogLine one, LogLine other) {
    if (one.time().isEmpty() || other.time().isEmpty()) {
      return one.time().isEmpty() && other.time().isPresent();
    }
    return one.time().get().isBefore(other.time().get());
  }

  /** Returns the text to print, a line each. */
  List<String> text() {
    List<String> text = new ArrayList<>();
    Optional<String> before = Optional.empty();
    boolean mixed = false;
    for (LogLine line : lines) {
      boolean other = before.isPresent() && !before.get().equals(line.instance());
      mixed |= other;
      text.add(
          "%s %s:%d %s"
              .formatted(other ? BY_CLOCK : " ", line.instance(), line.position(), line.text()));
      before = Optional.of(line.instance());
    }
    if (mixed) {
      text.add("lines marked " + BY_CLOCK + ": only clocks order them after the line above");
    }
    text.add(conclusion);
    return text;
  }
}
