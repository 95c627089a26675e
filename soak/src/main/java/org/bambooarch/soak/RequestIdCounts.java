package org.bambooarch.soak;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Counts successes for which a record by request id alone, which ignores the seal, names a failure
 * of the server.
 *
 * @param lastRun the last answer written for the id is a failure
 * @param firstRun the first run or refusal listed for the id is a failure
 * @param afterSecond the last status written for the id, second answers included, is a failure
 */
record RequestIdCounts(long lastRun, long firstRun, long afterSecond) {

  private record Written(long atNanos, int status) {}

  /** Counts either the requests that may run more than once or the others. */
  static RequestIdCounts of(Journal journal, boolean repeatable) {
    long lastRun = 0;
    long firstRun = 0;
    long afterSecond = 0;
    for (ClientAnswer answer : journal.answers()) {
      List<ServerRun> runs = journal.runsOf(answer.requestId());
      boolean counts = answer.repeatable() == repeatable && !runs.isEmpty();
      if (!counts || !answer.isSuccess() || !answer.complete()) {
        continue;
      }
      firstRun += runs.getFirst().answer().isSuccess() ? 0 : 1;
      lastRun += lastIsFailure(runs, false) ? 1 : 0;
      afterSecond += lastIsFailure(runs, true) ? 1 : 0;
    }
    return new RequestIdCounts(lastRun, firstRun, afterSecond);
  }

  private static boolean lastIsFailure(List<ServerRun> runs, boolean withSecond) {
    return runs.stream()
        .flatMap(
            run ->
                withSecond && run.secondWrittenNanos().get() > 0
                    ? Stream.of(first(run), second(run))
                    : Stream.of(first(run)))
        .filter(written -> written.atNanos() > 0)
        .max(Comparator.comparingLong(Written::atNanos))
        .map(written -> written.status() / 100 != 2)
        .orElse(false);
  }

  private static Written first(ServerRun run) {
    return new Written(run.writtenNanos().get(), run.answer().status());
  }

  private static Written second(ServerRun run) {
    return new Written(run.secondWrittenNanos().get(), run.second().status());
  }
}
