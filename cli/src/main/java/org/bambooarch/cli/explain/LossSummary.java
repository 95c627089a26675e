package org.bambooarch.cli.explain;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Counts the requests that were not answered, from the logs of all instances: by outcome, service,
 * data centre of the instance and the region whose servers were considered, and by second.
 *
 * <p>Instances log such requests up to a limit per second. What they suppressed beyond it is
 * counted by outcome only.
 */
final class LossSummary {

  private static final String ANSWERED = "answered";
  private static final String NONE = "-";

  private record Group(String outcome, String service, String dataCentre, String region) {}

  /** Requests of a group, and the sums of what their lines say about the servers. */
  private static final class Losses {
    private int requests;
    private int refusedForRoom;
    private long usableServers;
    private long candidates;
    private long coldServers;
  }

  private final Map<Group, Losses> lossesByGroup = new HashMap<>();
  private final Map<String, Integer> suppressedByOutcome = new TreeMap<>();
  private final Map<Instant, Integer> lossesBySecond = new TreeMap<>();
  private int unreadableNumbers;

  /** Creates the summary of logs, one list of lines for each process. */
  LossSummary(List<List<LogLine>> files) {
    files.forEach(this::addFile);
  }

  private void addFile(List<LogLine> file) {
    String dataCentre = NONE;
    for (LogLine line : file) {
      switch (line.event()) {
        case "started" -> dataCentre = line.field("data-centre");
        case "lines-suppressed" ->
            suppressedByOutcome.merge(line.field("cause"), numberIn(line, "lines"), Integer::sum);
        case "request-finished", "request-refused" -> addRequest(line, dataCentre);
        default -> {}
      }
    }
  }

  private void addRequest(LogLine line, String dataCentre) {
    String outcome = line.field("outcome");
    if (outcome.equals(ANSWERED)) {
      return;
    }
    Group group =
        new Group(outcome, orNone(line.field("service")), dataCentre, orNone(line.field("region")));
    Losses losses = lossesByGroup.computeIfAbsent(group, g -> new Losses());
    losses.requests++;
    if (line.fields().containsKey("candidates")) {
      losses.refusedForRoom++;
      losses.usableServers += numberIn(line, "usable");
      losses.candidates += numberIn(line, "candidates");
      losses.coldServers += numberIn(line, "cold");
    }
    Optional<Instant> second = line.time().map(time -> time.truncatedTo(ChronoUnit.SECONDS));
    second.ifPresent(start -> lossesBySecond.merge(start, 1, Integer::sum));
  }

  private static String orNone(String value) {
    return value.isEmpty() ? NONE : value;
  }

  private int numberIn(LogLine line, String field) {
    try {
      return Integer.parseInt(line.field(field));
    } catch (NumberFormatException e) {
      unreadableNumbers++;
      return 0;
    }
  }

  /** Returns the lines to print, largest group first. */
  List<String> toLines() {
    List<String> lines = new ArrayList<>();
    lines.add("requests outcome service data-centre region usable candidates cold");
    lossesByGroup.entrySet().stream()
        .sorted(Comparator.comparingInt(entry -> -entry.getValue().requests))
        .forEach(entry -> lines.add(describe(entry.getKey(), entry.getValue())));
    suppressedByOutcome.forEach(
        (outcome, count) -> lines.add("%d %s (lines suppressed)".formatted(count, outcome)));
    lossesBySecond.forEach((second, count) -> lines.add("%s %d".formatted(second, count)));
    if (unreadableNumbers > 0) {
      lines.add("%d numbers are unreadable and count as 0".formatted(unreadableNumbers));
    }
    return lines;
  }

  private static String describe(Group group, Losses losses) {
    String servers = "- - -";
    if (losses.refusedForRoom > 0) {
      double requests = losses.refusedForRoom;
      servers =
          String.format(
              Locale.ROOT,
              "%.1f %.1f %.1f",
              losses.usableServers / requests,
              losses.candidates / requests,
              losses.coldServers / requests);
    }
    return "%d %s %s %s %s %s"
        .formatted(
            losses.requests,
            group.outcome(),
            group.service(),
            group.dataCentre(),
            group.region(),
            servers);
  }
}
