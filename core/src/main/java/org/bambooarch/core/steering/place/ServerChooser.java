package org.bambooarch.core.steering.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.bambooarch.core.steering.config.ServicePolicy;
import org.bambooarch.core.steering.hash.Hashes;

/**
 * Chooses the server of a request.
 *
 * <p>Rendezvous hashing ranks the servers for an object alike at every instance. The request goes
 * where its answer is expected first: the time in the queue plus the time at work, which is longer
 * at servers that have not handled the object lately. So a popular object goes to its second server
 * only when the queue at its first costs more than the work of warming the other.
 *
 * <p>A request joins a queue only if warm requests behind it are still answered in time, the
 * shorter a queue the less urgent it is; otherwise there is no room for it.
 *
 * <p>Not thread-safe.
 */
public final class ServerChooser {

  /** Time of warm work that is kept free of the time that may be spent in a queue. */
  private static final double WORK_MARGIN = 1.3;

  /** Queue that is accepted even if no answer will be in time, in times of warm work. */
  private static final double LEAST_QUEUE_WORKS = 0.5;

  /** Part of the queue that a request of each priority may use, from the highest. */
  private static final double[] QUEUE_PART_BY_PRIORITY = {1.0, 0.8, 0.6};

  /**
   * Servers of an object, besides those that are known to be warm for it.
   *
   * <p>A server remembers few objects; an object that visits all servers under load drives others
   * out there, and everything is cold from then on.
   */
  private static final int SERVERS_PER_OBJECT = 2;

  /** Preference for each server over the next in rank, as a part of its work. */
  private static final double RANK_PENALTY = 0.1;

  private static final double NANOS_PER_MILLI = 1e6;
  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

  private final ServerTable table;
  private final RegionShares regionShares;
  private final ColdOwners coldOwners;
  private final String region;
  private final WorkTimes times = new WorkTimes();
  private long steppedNanos;
  private boolean stepped;

  /**
   * Creates a chooser.
   *
   * @param table the servers
   * @param region region of this instance and its callers
   * @param coldOwners who may send to cold servers
   */
  public ServerChooser(ServerTable table, String region, ColdOwners coldOwners) {
    this.table = table;
    this.region = region;
    this.regionShares = new RegionShares(region);
    this.coldOwners = coldOwners;
  }

  /** Chooses a server, or tells when there may be room. */
  public Placement choose(PlacementQuery query, ServicePolicy policy, long nowNanos) {
    List<ServerCell> open = table.open(query.service());
    List<ServerCell> usable = new ArrayList<>();
    for (ServerCell cell : open) {
      if (!query.excludedServers().contains(cell.entry().id())
          && isHome(query, cell)
          && !cell.isAvoided(nowNanos)) {
        usable.add(cell);
      }
    }
    String wanted = wantedRegion(query, usable);
    List<ServerCell> warm = new ArrayList<>();
    for (ServerCell cell : rank(query, inRegion(usable, wanted))) {
      if (!cell.isCold(nowNanos)) {
        warm.add(cell);
      } else if (mayTakeCold(cell, policy, nowNanos)) {
        return new Placement.Chosen(cell, cell.load(nowNanos));
      }
    }
    List<Candidate> candidates = candidates(query, warm, nowNanos);
    Optional<Candidate> best = earliest(query, candidates);
    if (best.isPresent()) {
      ServerCell cell = best.get().cell();
      return new Placement.Chosen(cell, cell.load(nowNanos));
    }
    return new Placement.NoRoom(
        retryAfterMillis(query, usable, nowNanos),
        shortage(query, wanted, open.size(), usable, candidates, nowNanos));
  }

  /** A warm server that an object uses, with the times that a request would take there. */
  private record Candidate(ServerCell cell, double waitNanos, double answeredNanos) {}

  private List<Candidate> candidates(PlacementQuery query, List<ServerCell> ranked, long nowNanos) {
    List<Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < ranked.size(); i++) {
      ServerCell cell = ranked.get(i);
      if (i < SERVERS_PER_OBJECT || times.isKnownWarm(query.objectHash(), cell, nowNanos)) {
        double waitNanos = waitNanos(cell, query.service(), nowNanos);
        double answeredNanos = waitNanos + workNanos(query, cell, i, nowNanos);
        candidates.add(new Candidate(cell, waitNanos, answeredNanos));
      }
    }
    return candidates;
  }

  /** Returns the server whose answer is expected first, if its queue is short enough. */
  private Optional<Candidate> earliest(PlacementQuery query, List<Candidate> candidates) {
    double longestWaitNanos = longestWaitNanos(query);
    return candidates.stream()
        .filter(candidate -> candidate.waitNanos() <= longestWaitNanos)
        .min(Comparator.comparingDouble(Candidate::answeredNanos))
        .filter(candidate -> candidate.answeredNanos() <= query.remainingNanos());
  }

  private Shortage shortage(
      PlacementQuery query,
      String wanted,
      int open,
      List<ServerCell> usable,
      List<Candidate> candidates,
      long nowNanos) {
    long cold =
        usable.stream().filter(c -> c.region().equals(wanted) && c.isCold(nowNanos)).count();
    return new Shortage(
        wanted,
        open,
        usable.size(),
        (int) cold,
        candidates.size(),
        leastMillis(candidates, Candidate::waitNanos),
        toMillis(longestWaitNanos(query)),
        leastMillis(candidates, Candidate::answeredNanos),
        toMillis(query.remainingNanos()));
  }

  private static long leastMillis(List<Candidate> candidates, ToDoubleFunction<Candidate> nanos) {
    return candidates.isEmpty()
        ? Shortage.NONE
        : toMillis(candidates.stream().mapToDouble(nanos).min().orElseThrow());
  }

  private static long toMillis(double nanos) {
    return (long) (nanos / NANOS_PER_MILLI);
  }

  private static boolean isHome(PlacementQuery query, ServerCell cell) {
    return query.homeRegions().isEmpty() || query.homeRegions().contains(cell.region());
  }

  private String wantedRegion(PlacementQuery query, List<ServerCell> usable) {
    String wanted = regionShares.regionFor(query.service(), query.objectHash());
    boolean hasServers = usable.stream().anyMatch(cell -> cell.region().equals(wanted));
    if (hasServers) {
      return wanted;
    }
    boolean hasLocal = usable.stream().anyMatch(cell -> cell.region().equals(region));
    if (hasLocal) {
      return region;
    }
    return usable.stream()
        .max(Comparator.comparingLong(cell -> cell.rendezvous(query.objectHash())))
        .map(ServerCell::region)
        .orElse(region);
  }

  private static List<ServerCell> inRegion(List<ServerCell> cells, String region) {
    return cells.stream().filter(cell -> cell.region().equals(region)).toList();
  }

  private static List<ServerCell> rank(PlacementQuery query, List<ServerCell> cells) {
    List<ServerCell> ranked = new ArrayList<>(cells);
    ranked.sort(
        Comparator.comparingLong((ServerCell cell) -> cell.rendezvous(query.objectHash()))
            .reversed());
    return ranked;
  }

  private boolean mayTakeCold(ServerCell cell, ServicePolicy policy, long nowNanos) {
    return cell.load(nowNanos) < cell.entry().slots()
        && coldOwners.isOwner(cell)
        && cell.tryTakeCold(policy.coldRequestsPerSecond() / ColdOwners.OWNERS, nowNanos);
  }

  private double workNanos(PlacementQuery query, ServerCell cell, int rank, long nowNanos) {
    boolean warm =
        rank < WorkTimes.SHARED_RANKS || times.isKnownWarm(query.objectHash(), cell, nowNanos);
    double work = warm ? times.warmNanos(query.service()) : times.coldNanos(query.service());
    // Among servers alike, the first in rank stays the first.
    return work * (1 + RANK_PENALTY * rank);
  }

  private double slots(ServerCell cell, String service) {
    return cell.effectiveSlots(times.coldNanos(service));
  }

  private double waitNanos(ServerCell cell, String service, long nowNanos) {
    double slots = slots(cell, service);
    double ahead = Math.max(0, cell.load(nowNanos) + 1 - slots);
    return ahead / slots * times.warmNanos(service);
  }

  private double longestWaitNanos(PlacementQuery query) {
    double warm = times.warmNanos(query.service());
    double inTime = query.targetLatencyNanos() - WORK_MARGIN * warm;
    int priority = Math.clamp(query.priority(), 0, QUEUE_PART_BY_PRIORITY.length - 1);
    double longest = Math.max(inTime, LEAST_QUEUE_WORKS * warm);
    return longest * QUEUE_PART_BY_PRIORITY[priority];
  }

  private long retryAfterMillis(PlacementQuery query, List<ServerCell> usable, long nowNanos) {
    double waitNanos = times.coldNanos(query.service());
    for (ServerCell cell : usable) {
      waitNanos = Math.min(waitNanos, waitNanos(cell, query.service(), nowNanos));
    }
    long millis =
        (long) (waitNanos / NANOS_PER_MILLI * (0.75 + Hashes.unit(query.objectHash()) / 2));
    return Math.clamp(millis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  /** Takes in how long a server had a request, and how many it had when the request came. */
  public void onServed(
      PlacementQuery query, ServerCell server, int loadBefore, long tookNanos, long nowNanos) {
    if (loadBefore < server.entry().slots() && server.region().equals(region)) {
      times.onServed(query.service(), query.objectHash(), server, tookNanos, nowNanos);
    } else {
      times.onServedAfterQueue(query.objectHash(), server, nowNanos);
    }
  }

  /** Returns the average time that a warm server needs for a request, in nanoseconds. */
  public double warmNanos(String service) {
    return times.warmNanos(service);
  }

  /** Returns the part of a service's requests that leaves this region. */
  public double awayPart(String service) {
    return regionShares.away(service);
  }

  /** Moves the shares of the regions towards the load. */
  public void tick(Iterable<String> services, long nowNanos) {
    if (stepped && nowNanos - steppedNanos < RegionShares.STEP_NANOS) {
      return;
    }
    steppedNanos = nowNanos;
    stepped = true;
    for (String service : services) {
      regionShares.step(service, table.open(service), nowNanos);
    }
  }
}
