package org.bambooarch.soak;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Figures and broken promises of a run, printed as lines. */
final class SoakReport {

  /** Broken promises of each kind that are printed with their records. */
  private static final int MAX_PRINTED = 20;

  private final Journal journal;
  private final PlayedChanges changes;
  private final RunClock clock;
  private final Map<String, Number> figures = new LinkedHashMap<>();

  SoakReport(Journal journal, PlayedChanges changes, RunClock clock) {
    this.journal = journal;
    this.changes = changes;
    this.clock = clock;
  }

  void add(String name, Number value) {
    figures.put(name, value);
  }

  /** Prints everything; returns whether all promises were kept. */
  boolean print() {
    addAnswers();
    addRuns();
    List<AnswerChecker.Violation> violations = new AnswerChecker(journal).check();
    Map<AnswerChecker.Promise, Integer> counts = new EnumMap<>(AnswerChecker.Promise.class);
    violations.forEach(violation -> counts.merge(violation.promise(), 1, Integer::sum));
    for (AnswerChecker.Promise promise : AnswerChecker.Promise.values()) {
      add("broken-" + promise, counts.getOrDefault(promise, 0));
    }
    addCountsById("safe", RequestIdCounts.of(journal, true));
    addCountsById("unsafe", RequestIdCounts.of(journal, false));
    ChangeChecker.Result lists = new ChangeChecker(changes).check(journal.runs());
    add("oldest-configuration-millis", lists.oldestConfigurationMillis());
    add("oldest-leaving-millis", lists.oldestLeavingMillis());
    add("broken-CONFIG", lists.config().size());
    add("broken-DRAIN", lists.drain().size());
    HomeReport homes = new HomeReport(journal, changes, clock);
    homes.figures().forEach(this::add);
    figures.forEach((name, value) -> System.out.println(name + "=" + value));
    printLate("CONFIG", lists.config());
    printLate("DRAIN", lists.drain());
    homes.printBroken();
    Map<AnswerChecker.Promise, Integer> printed = new EnumMap<>(AnswerChecker.Promise.class);
    for (AnswerChecker.Violation violation : violations) {
      if (printed.merge(violation.promise(), 1, Integer::sum) <= MAX_PRINTED) {
        printRecords(violation);
      }
    }
    return violations.isEmpty()
        && lists.config().isEmpty()
        && lists.drain().isEmpty()
        && homes.isKept();
  }

  private void printLate(String rule, List<ChangeChecker.Late> late) {
    late.stream()
        .limit(MAX_PRINTED)
        .forEach(
            each ->
                System.out.printf(
                    "BROKEN %s acked=%.1fms late=%dms %s received=%.1fms%n",
                    rule,
                    clock.millis(each.ackNanos()),
                    each.lateMillis(),
                    each.run(),
                    clock.millis(each.run().receivedNanos())));
  }

  private void addCountsById(String kind, RequestIdCounts counts) {
    add("by-id-last-run-failed-" + kind, counts.lastRun());
    add("by-id-first-run-failed-" + kind, counts.firstRun());
    add("by-id-after-second-failed-" + kind, counts.afterSecond());
  }

  private void addAnswers() {
    Map<String, Integer> statuses = new TreeMap<>();
    int complete = 0;
    for (ClientAnswer answer : journal.answers()) {
      complete += answer.complete() ? 1 : 0;
      String kind = answer.complete() ? "status-" + answer.status() : "incomplete";
      statuses.merge(kind, 1, Integer::sum);
    }
    add("requests", journal.answers().size());
    add("answers-complete", complete);
    statuses.forEach(this::add);
  }

  private void addRuns() {
    Set<String> secondSeals = new HashSet<>();
    Map<Fault, Integer> faults = new EnumMap<>(Fault.class);
    int seconds = 0;
    int executed = 0;
    List<ServerRun> runs = journal.runs();
    Map<String, String> requestsBySeal = new TreeMap<>();
    for (ServerRun run : runs) {
      executed += run.executed() ? 1 : 0;
      faults.merge(run.fault(), 1, Integer::sum);
      requestsBySeal.put(run.answer().seal(), run.requestId());
      if (run.secondWrittenNanos().get() > 0) {
        seconds++;
        if (!run.second().seal().equals(run.answer().seal())) {
          secondSeals.add(run.second().seal());
        }
      }
    }
    final long passedOn =
        journal.answers().stream()
            .filter(answer -> !answer.seal().isEmpty())
            .filter(
                answer ->
                    secondSeals.contains(answer.seal())
                        || !answer.requestId().equals(requestsBySeal.get(answer.seal())))
            .count();
    add("arrivals-at-servers", runs.size());
    add("runs", executed);
    add("second-answers", seconds);
    add("second-answers-other-status", secondSeals.size());
    add("second-answers-passed-on", passedOn);
    add("cut-without-reset-passed-on", cutPassedOn(runs));
    faults.forEach((fault, count) -> add("fault-" + fault, count));
  }

  /** Counts complete answers whose body without a length was cut by a close without a reset. */
  private long cutPassedOn(List<ServerRun> runs) {
    Set<String> seals = new HashSet<>();
    for (ServerRun run : runs) {
      if (run.fault() == Fault.WITHOUT_LENGTH_CUT_BY_FIN) {
        seals.add(run.answer().seal());
      }
    }
    return journal.answers().stream()
        .filter(answer -> answer.complete() && seals.contains(answer.seal()))
        .count();
  }

  private void printRecords(AnswerChecker.Violation violation) {
    ClientAnswer answer = violation.answer();
    System.out.printf(
        "BROKEN %s %s: %s sent=%.1fms read=%.1fms%n",
        violation.promise(),
        violation.reason(),
        answer,
        clock.millis(answer.sentNanos()),
        clock.millis(answer.readNanos()));
    for (ServerRun run : journal.runsOf(answer.requestId())) {
      System.out.printf(
          "    run %s received=%.1fms written=%.1fms second-written=%.1fms%n",
          run,
          clock.millis(run.receivedNanos()),
          clock.millis(run.writtenNanos().get()),
          clock.millis(run.secondWrittenNanos().get()));
    }
  }
}
