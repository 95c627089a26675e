package org.bambooarch.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Figures of look-ups and homes, and the requests that went where they must not. */
final class HomeReport {

  /** Requests of each kind that are printed with their records. */
  private static final int MAX_PRINTED = 8;

  private final HomeChecker checker;
  private final HomeChecker.Result result;
  private final Journal journal;
  private final RunClock clock;

  HomeReport(Journal journal, PlayedChanges changes, RunClock clock) {
    this.journal = journal;
    this.clock = clock;
    checker = new HomeChecker(changes);
    result = checker.check(journal.runs(), journal.homedRequests());
  }

  boolean isKept() {
    return result.outside().isEmpty() && result.isShareKept();
  }

  /** Returns the figures by name, in the order in which they are printed. */
  Map<String, Integer> figures() {
    Map<String, Integer> figures = new TreeMap<>();
    for (String name : List.of("lookups-asked", "lookups-failed", "lookups-named-elsewhere")) {
      figures.put(name, 0);
    }
    for (Lookup lookup : journal.lookups()) {
      addLookup(lookup, figures);
    }
    figures.put("oldest-homes-millis", (int) result.oldestHomesMillis());
    figures.put("homed-requests", journal.homedRequests().size());
    figures.put("homed-requests-judged", result.judged());
    figures.put("homed-requests-elsewhere", result.elsewhere().size());
    figures.put("broken-HOME-server", result.outside().size());
    figures.put("broken-HOME-lookups", result.isShareKept() ? 0 : 1);
    return figures;
  }

  private void addLookup(Lookup lookup, Map<String, Integer> figures) {
    figures.merge("lookups-asked", 1, Integer::sum);
    for (Lookup.Try each : lookup.tries()) {
      String kind = each.answered() ? "answered" : "unanswered";
      figures.merge("lookup-calls-" + each.state() + "-" + kind, 1, Integer::sum);
    }
    if (lookup.failed()) {
      figures.merge("lookups-failed", 1, Integer::sum);
    } else if (checker.namesElsewhere(lookup)) {
      figures.merge("lookups-named-elsewhere", 1, Integer::sum);
      String state = lookup.tries().getLast().state().toString();
      figures.merge("lookups-named-elsewhere-by-" + state, 1, Integer::sum);
    }
  }

  /** Prints the requests that broke the rule. */
  void printBroken() {
    result.outside().stream()
        .limit(MAX_PRINTED)
        .forEach(
            each ->
                System.out.printf(
                    "BROKEN HOME server acked=%.1fms late=%dms %s received=%.1fms%n",
                    clock.millis(each.ackNanos()),
                    each.lateMillis(),
                    each.run(),
                    clock.millis(each.run().receivedNanos())));
    if (!result.isShareKept()) {
      result.elsewhere().stream()
          .limit(MAX_PRINTED)
          .forEach(
              each ->
                  System.out.printf(
                      "BROKEN HOME look-up %s sent=%.1fms asked=%.1fms%n",
                      each,
                      clock.millis(each.sentNanos()),
                      clock.millis(each.lookup().askedNanos())));
    }
  }
}
