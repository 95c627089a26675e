package org.bambooarch.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Finds requests on routes or of customers with homes that reached a server outside the homes, and
 * those on routes with homes that a look-up led to an instance that is neither in a home nor in the
 * client's region.
 *
 * <p>Homes are those of every configuration that may be in force: one counts from its sending until
 * {@link ChangeChecker#BOUND_NANOS} after the acknowledgement of the next one.
 */
final class HomeChecker {

  /** Time after something unplanned in which look-ups are not judged. */
  static final long UNPLANNED_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** Of so many requests on routes with homes, one may go to an instance elsewhere. */
  private static final int REQUESTS_PER_ELSEWHERE = 20;

  /**
   * What was found.
   *
   * @param outside arrivals at servers outside the homes, late by the time since the homes that
   *     allowed it were replaced, or since the first configuration if none did
   * @param oldestHomesMillis age of the oldest homes that an arrival met, from the acknowledgement
   *     of newer ones
   * @param judged requests on routes with homes with nothing unplanned shortly before
   * @param elsewhere those of them that went to an instance elsewhere
   */
  record Result(
      List<ChangeChecker.Late> outside,
      long oldestHomesMillis,
      int judged,
      List<HomedRequest> elsewhere) {

    boolean isShareKept() {
      return (long) elsewhere.size() * REQUESTS_PER_ELSEWHERE <= judged;
    }
  }

  private final PlayedChanges changes;

  HomeChecker(PlayedChanges changes) {
    this.changes = changes;
  }

  /** Checks all arrivals at servers, and all requests on routes with homes. */
  Result check(List<ServerRun> runs, List<HomedRequest> requests) {
    List<ChangeChecker.Late> outside = new ArrayList<>();
    long oldestMillis = 0;
    for (ServerRun run : runs) {
      Optional<ChangeChecker.Late> late = atFormerHome(run);
      if (isOutsideAllHomes(run)) {
        outside.add(late(run, changes.configurations().getFirst()));
      } else if (late.isPresent()) {
        oldestMillis = Math.max(oldestMillis, late.get().lateMillis());
        late.filter(HomeChecker::isPastBound).ifPresent(outside::add);
      }
    }
    List<HomedRequest> judged = requests.stream().filter(this::isJudged).toList();
    List<HomedRequest> elsewhere = judged.stream().filter(this::isElsewhere).toList();
    return new Result(outside, oldestMillis, judged.size(), elsewhere);
  }

  /** Returns whether a look-up named an instance in a region that is no home of some route. */
  boolean namesElsewhere(Lookup lookup) {
    return lookup.namedRegions().stream()
        .filter(region -> !region.equals(lookup.clientRegion()))
        .anyMatch(
            region ->
                PlayedDeployment.HOMED_ROUTES.stream()
                    .filter(route -> route.host().equals(lookup.host()))
                    .anyMatch(route -> !isHome(route.name(), region, lookup.askedNanos())));
  }

  private boolean isElsewhere(HomedRequest request) {
    return !request.instanceRegion().equals(request.clientRegion())
        && !isHome(request.route(), request.instanceRegion(), request.sentNanos());
  }

  private boolean isHome(String route, String region, long atNanos) {
    List<PlayedChanges.Configuration> configurations = changes.configurations();
    for (int i = configurations.size() - 1; i >= 0; i--) {
      boolean begun = configurations.get(i).sentNanos() - atNanos <= 0;
      if (begun && configurations.get(i).allows(route, region)) {
        return true;
      }
      if (atNanos - configurations.get(i).ackNanos() > ChangeChecker.BOUND_NANOS) {
        return false;
      }
    }
    return false;
  }

  private boolean isOutsideAllHomes(ServerRun run) {
    return lastAllowing(run) < 0;
  }

  /** Returns an arrival that only homes allow which have been replaced, unless it is excused. */
  private Optional<ChangeChecker.Late> atFormerHome(ServerRun run) {
    List<PlayedChanges.Configuration> configurations = changes.configurations();
    int allowing = lastAllowing(run);
    if (allowing < 0 || allowing == configurations.size() - 1) {
      return Optional.empty();
    }
    return Optional.of(late(run, configurations.get(allowing + 1)))
        .filter(late -> !isExcused(late));
  }

  /** Returns the index of the last configuration sent before an arrival that allows it, or -1. */
  private int lastAllowing(ServerRun run) {
    List<PlayedChanges.Configuration> configurations = changes.configurations();
    for (int i = configurations.size() - 1; i >= 0; i--) {
      PlayedChanges.Configuration configuration = configurations.get(i);
      boolean begun = configuration.sentNanos() - run.receivedNanos() < 0;
      if (begun
          && configuration.allows(run.route(), run.region())
          && configuration.allows(run.customer(), run.region())) {
        return i;
      }
    }
    return -1;
  }

  private static ChangeChecker.Late late(ServerRun run, PlayedChanges.Configuration since) {
    return new ChangeChecker.Late(
        run,
        since.ackNanos(),
        TimeUnit.NANOSECONDS.toMillis(run.receivedNanos() - since.ackNanos()));
  }

  private static boolean isPastBound(ChangeChecker.Late late) {
    return late.lateMillis() > TimeUnit.NANOSECONDS.toMillis(ChangeChecker.BOUND_NANOS);
  }

  private boolean isExcused(ChangeChecker.Late late) {
    long receivedNanos = late.run().receivedNanos();
    return receivedNanos - late.ackNanos() <= 0
        || changes.isSilentWithin(receivedNanos - ChangeChecker.CONTACT_NANOS, receivedNanos);
  }

  private boolean isJudged(HomedRequest request) {
    return !changes.isUnplannedWithin(request.sentNanos() - UNPLANNED_NANOS, request.sentNanos());
  }
}
