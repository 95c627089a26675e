package org.bambooarch.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Finds requests that were handled by an old configuration or reached a server that had left, later
 * than the bounds in the settings allow.
 *
 * <p>As on the platform, a bound holds only if the store was not silent shortly before. Lost and
 * late responses and dropped histories excuse nothing.
 */
final class ChangeChecker {

  /** The bounds {@code config-apply} and {@code drain} in the instances' settings. */
  static final long BOUND_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** The time {@code contact} in the instances' settings. */
  static final long CONTACT_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

  /** A run past a bound, with the acknowledgement of the change that it ignored. */
  record Late(ServerRun run, long ackNanos, long lateMillis) {}

  /** What was found. */
  record Result(
      List<Late> config,
      List<Late> drain,
      long oldestConfigurationMillis,
      long oldestLeavingMillis) {}

  private final PlayedChanges changes;

  ChangeChecker(PlayedChanges changes) {
    this.changes = changes;
  }

  /** Checks all runs and refusals of the servers. */
  Result check(List<ServerRun> runs) {
    List<Late> outdated = new ArrayList<>();
    List<Late> afterLeaving = new ArrayList<>();
    for (ServerRun run : runs) {
      if (!run.executed() || run.sentNanos() == 0) {
        continue;
      }
      if (run.moved()) {
        addOutdated(run, outdated);
      }
      Long ackNanos = changes.leavingAckNanos(run.server());
      if (ackNanos != null && run.receivedNanos() - ackNanos > 0) {
        add(run, ackNanos, run.receivedNanos(), afterLeaving);
      }
    }
    return new Result(
        outdated.stream().filter(ChangeChecker::isPastBound).toList(),
        afterLeaving.stream().filter(ChangeChecker::isPastBound).toList(),
        oldest(outdated),
        oldest(afterLeaving));
  }

  private void addOutdated(ServerRun run, List<Late> found) {
    List<PlayedChanges.Configuration> configurations = changes.configurations();
    for (int i = configurations.size() - 1; i >= 0; i--) {
      PlayedChanges.Configuration configuration = configurations.get(i);
      boolean mayApply = configuration.sentNanos() - run.receivedNanos() < 0;
      if (mayApply && configuration.movedTo().equals(run.service())) {
        // The next one ended the time of this configuration.
        if (i + 1 < configurations.size()) {
          long endNanos = configurations.get(i + 1).ackNanos();
          add(run, endNanos, run.sentNanos(), found);
        }
        return;
      }
    }
  }

  private void add(ServerRun run, long ackNanos, long actedNanos, List<Late> found) {
    long sinceNanos = Math.min(ackNanos, actedNanos - CONTACT_NANOS);
    if (actedNanos - ackNanos > 0 && !changes.isSilentWithin(sinceNanos, actedNanos)) {
      found.add(new Late(run, ackNanos, TimeUnit.NANOSECONDS.toMillis(actedNanos - ackNanos)));
    }
  }

  private static boolean isPastBound(Late late) {
    return late.lateMillis() > TimeUnit.NANOSECONDS.toMillis(BOUND_NANOS);
  }

  private static long oldest(List<Late> found) {
    return found.stream().mapToLong(Late::lateMillis).max().orElse(0);
  }
}
