package org.bambooarch.cli.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Finds the lines that answer a question, and says what they mean. */
final class Explainer {

  /** Changes of what an instance believes, which may explain a request's end. */
  private static final Set<String> BELIEFS =
      Set.of(
          "started",
          "configured",
          "servers-read",
          "store-lost",
          "store-regained",
          "history-lost",
          "data-centre-closed",
          "data-centre-reopened",
          "stopping",
          "reload");

  /** Beliefs that are shown before a request: the last of each kind. */
  private static final int MOST_BELIEFS = 12;

  private final List<List<LogLine>> files;

  Explainer(List<List<LogLine>> files) {
    this.files = files;
  }

  Story answer(Question question) {
    return switch (question) {
      case Question.OfRequest(String id) -> ofRequest(id);
      case Question.OfServer(String id) -> ofServer(id);
      case Question.OfVersion(String version) -> ofVersion(version);
    };
  }

  private Story ofRequest(String id) {
    for (List<LogLine> file : files) {
      List<LogLine> own = file.stream().filter(line -> line.field("request").equals(id)).toList();
      if (!own.isEmpty()) {
        List<LogLine> shown = new ArrayList<>(beliefsBefore(file, own));
        shown.addAll(own);
        shown.sort(Comparator.comparingInt(LogLine::position));
        return new Story(shown, "cause: " + Causes.of(own.getLast()));
      }
    }
    return new Story(suppressed(), Causes.NOT_WRITTEN);
  }

  private List<LogLine> suppressed() {
    return all(line -> line.event().startsWith("lines-"));
  }

  /** Returns the last lines before a request's end on what decided it, and on its servers. */
  private static List<LogLine> beliefsBefore(List<LogLine> file, List<LogLine> own) {
    Set<String> servers = new HashSet<>();
    own.forEach(line -> servers.add(line.field("server")));
    int endPosition = own.getLast().position();
    List<LogLine> beliefs = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (LogLine line : file.reversed()) {
      if (beliefs.size() == MOST_BELIEFS) {
        break;
      }
      if (line.position() < endPosition && isBelief(line, servers) && seen.add(subjectOf(line))) {
        beliefs.add(line);
      }
    }
    return beliefs;
  }

  private static boolean isBelief(LogLine line, Set<String> servers) {
    boolean aboutServer =
        line.event().startsWith("server-") && servers.contains(line.field("server"));
    return aboutServer || BELIEFS.contains(line.event());
  }

  private static String subjectOf(LogLine line) {
    return line.event() + line.field("list") + line.field("data-centre") + line.field("server");
  }

  private Story ofServer(String id) {
    List<LogLine> lines = all(line -> line.field("server").equals(id));
    long lost = lines.stream().filter(line -> line.event().equals("attempt-failed")).count();
    return new Story(
        lines, "%d lines about the server, %d of failed attempts".formatted(lines.size(), lost));
  }

  private Story ofVersion(String version) {
    List<LogLine> lines =
        all(line -> line.event().equals("configured") && line.field("version").equals(version));
    return new Story(
        lines,
        "%d of %d instances took in version %s by itself; others may have gone past it"
            .formatted(lines.size(), files.size(), version));
  }

  private List<LogLine> all(Predicate<LogLine> wanted) {
    return Story.merge(files.stream().map(file -> file.stream().filter(wanted).toList()).toList());
  }
}
