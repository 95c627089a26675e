package org.bambooarch.cli.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Finds the log lines that match a query and draws the conclusion from them. */
final class LogQueryRunner {

  /**
   * Events that change the state by which an instance decides about requests, such as its
   * configuration, its list of servers or its connection to the store.
   */
  private static final Set<String> STATE_EVENTS =
      Set.of(
          "started",
          "configured",
          "servers-read",
          "store-lost",
          "store-regained",
          "store-reverted",
          "history-lost",
          "data-centre-closed",
          "data-centre-reopened",
          "stopping",
          "reload");

  /** Largest number of lines about state changes that are shown with a request. */
  private static final int MAX_STATE_CHANGE_LINES = 12;

  private final List<List<LogLine>> files;

  LogQueryRunner(List<List<LogLine>> files) {
    this.files = files;
  }

  LogQueryResult run(LogQuery query) {
    return switch (query) {
      case LogQuery.ByRequest(String id) -> queryRequest(id);
      case LogQuery.ByServer(String id) -> queryServer(id);
      case LogQuery.ByVersion(String version) -> queryVersion(version);
    };
  }

  private LogQueryResult queryRequest(String id) {
    for (List<LogLine> file : files) {
      List<LogLine> requestLines =
          file.stream()
              .filter(line -> line.field("request").equals(id) && !SkippedResponses.isSkipped(line))
              .toList();
      if (!requestLines.isEmpty()) {
        List<LogLine> skipped = file.stream().filter(line -> isSkippedBeside(line, id)).toList();
        List<LogLine> shown = new ArrayList<>(stateChangeLinesBefore(file, requestLines));
        shown.addAll(requestLines);
        shown.addAll(skipped);
        shown.sort(Comparator.comparingInt(LogLine::position));
        return new LogQueryResult(
            shown,
            "cause: "
                + OutcomeDescriptions.describe(requestLines.getLast())
                + SkippedResponses.describe(skipped));
      }
    }
    return queryUnfinishedRequest(id);
  }

  /** Returns the result for a request without lines of its own. */
  private LogQueryResult queryUnfinishedRequest(String id) {
    List<LogLine> skipped = linesMatching(line -> isSkippedBeside(line, id));
    List<LogLine> shown = new ArrayList<>(suppressionLines());
    shown.addAll(skipped);
    return new LogQueryResult(
        shown, OutcomeDescriptions.NO_LINE_FOUND + SkippedResponses.describe(skipped));
  }

  private static boolean isSkippedBeside(LogLine line, String id) {
    boolean inProgress = SkippedResponses.isSkipped(line) && line.field("request").equals(id);
    return inProgress || SkippedResponses.names(line, id);
  }

  private List<LogLine> suppressionLines() {
    return linesMatching(line -> line.event().startsWith("lines-"));
  }

  /**
   * Returns the lines about the state in which the instance ended a request, and about the servers
   * that it was sent to: of each kind of state change only the last before the request's end.
   */
  private static List<LogLine> stateChangeLinesBefore(
      List<LogLine> file, List<LogLine> requestLines) {
    Set<String> servers = new HashSet<>();
    requestLines.forEach(line -> servers.add(line.field("server")));
    int endPosition = requestLines.getLast().position();
    List<LogLine> stateChangeLines = new ArrayList<>();
    Set<String> shownKeys = new HashSet<>();
    for (LogLine line : file.reversed()) {
      if (stateChangeLines.size() == MAX_STATE_CHANGE_LINES) {
        break;
      }
      if (line.position() < endPosition
          && isStateChange(line, servers)
          && shownKeys.add(stateChangeKey(line))) {
        stateChangeLines.add(line);
      }
    }
    return stateChangeLines;
  }

  private static boolean isStateChange(LogLine line, Set<String> servers) {
    boolean aboutServer =
        line.event().startsWith("server-") && servers.contains(line.field("server"));
    return aboutServer || STATE_EVENTS.contains(line.event());
  }

  private static String stateChangeKey(LogLine line) {
    return line.event() + line.field("list") + line.field("data-centre") + line.field("server");
  }

  private LogQueryResult queryServer(String id) {
    List<LogLine> lines = linesMatching(line -> line.field("server").equals(id));
    long failedAttempts =
        lines.stream().filter(line -> line.event().equals("attempt-failed")).count();
    return new LogQueryResult(
        lines,
        "%d lines about the server, %d of failed attempts".formatted(lines.size(), failedAttempts));
  }

  private LogQueryResult queryVersion(String version) {
    List<LogLine> lines =
        linesMatching(
            line -> line.event().equals("configured") && line.field("version").equals(version));
    return new LogQueryResult(
        lines,
        "%d of %d instances applied version %s; others may have gone to a newer one directly"
            .formatted(lines.size(), files.size(), version));
  }

  private List<LogLine> linesMatching(Predicate<LogLine> condition) {
    return LogQueryResult.merge(
        files.stream().map(file -> file.stream().filter(condition).toList()).toList());
  }
}
