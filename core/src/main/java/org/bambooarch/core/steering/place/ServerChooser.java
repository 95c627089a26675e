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
 * <p>Rendezvous hashing ranks the servers for an object in the same order at every instance. The
 * request goes to the first server of the ranking in its region, or to another one there that is
 * known to be warm for the object, whichever is expected to respond first.
 *
 * <p>A request joins a queue only if requests that are processed warm behind it still get their
 * responses within the target latency, or if the queue is short. The lower its priority, the
 * shorter the queue must be. If no server of the region has capacity, a bounded fraction of the
 * requests overflows to the first server of the other regions' ranking.
 *
 * <p>Not thread-safe.
 */
public final class ServerChooser {

  /**
   * Part of the target latency that is kept for processing, as a multiple of the average time that
   * a warm server needs for a request.
   */
  private static final double PROCESSING_MARGIN = 1.3;

  /**
   * Queueing time that is accepted even if no response is in time, as a multiple of the average
   * time that a warm server of the service needs for a request. Known loads are older than a
   * request takes, and a refusal on such a load costs more than a short queue.
   */
  private static final double MIN_QUEUE_PROCESSING_TIMES = 2;

  /** Fraction of the longest queueing time that a request may use, by priority from the highest. */
  private static final double[] QUEUE_FRACTION_BY_PRIORITY = {1.0, 0.8, 0.6};

  /**
   * Number of servers in a region that an object uses, besides those that are known to be warm for
   * it.
   *
   * <p>A server keeps few objects warm. An object that is sent to all servers under load evicts
   * other objects there, after which no server is warm for anything.
   */
  private static final int SERVERS_PER_OBJECT = 1;

  /** Added to the processing time for each rank after the first, as a fraction of that time. */
  private static final double RANK_PENALTY = 0.1;

  /**
   * Number of instances that may send to the same cold server, each at an equal part of its rate.
   */
  private static final int OWNERS_PER_COLD_SERVER = 2;

  private static final double NANOS_PER_MILLI = 1e6;
  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

  private final ServerTable table;
  private final RegionSpillover spillover;
  private final ServerOwners coldOwners;
  private final LimitShares limitShares;
  private final String region;
  private final ProcessingTimes processingTimes = new ProcessingTimes();
  private final OverflowBudget overflowBudget = new OverflowBudget();
  private long adjustedNanos;
  private boolean adjusted;

  /**
   * Creates a chooser.
   *
   * @param table the servers to choose from
   * @param region region of this instance and its callers
   * @param coldOwners decides whether this instance may send to a cold server
   * @param limitShares decides whether this instance may send to a server that names a limit
   */
  public ServerChooser(
      ServerTable table, String region, ServerOwners coldOwners, LimitShares limitShares) {
    this.table = table;
    this.region = region;
    this.spillover = new RegionSpillover(region);
    this.coldOwners = coldOwners;
    this.limitShares = limitShares;
  }

  /** Chooses a server, or returns when one may have capacity. */
  public Placement choose(PlacementQuery query, ServicePolicy policy, long nowNanos) {
    List<ServerState> available = table.availableServers(query.service());
    List<ServerState> usable = new ArrayList<>();
    for (ServerState server : available) {
      if (!query.excludedServers().contains(server.entry().id())
          && query.homeRegions().permits(server.region())
          && !server.isAvoided(nowNanos)
          && limitShares.permits(server, nowNanos)) {
        usable.add(server);
      }
    }
    overflowBudget.onRequest(query.service());
    String preferred = preferredRegion(query, usable);
    List<ServerState> notCold = new ArrayList<>();
    for (ServerState server : rank(query, inRegion(usable, preferred))) {
      if (!server.isCold(nowNanos)) {
        notCold.add(server);
      } else if (tryUseColdServer(server, policy, nowNanos)) {
        return chosen(server, nowNanos);
      }
    }
    List<Candidate> candidates = candidates(query, notCold, nowNanos);
    Optional<ServerState> best =
        earliestAnswer(query, candidates).or(() -> overflow(query, preferred, usable, nowNanos));
    if (best.isPresent()) {
      return chosen(best.get(), nowNanos);
    }
    return new Placement.NoRoom(
        retryAfterMillis(query, usable, nowNanos),
        noRoomDetails(query, preferred, available.size(), usable, candidates, nowNanos));
  }

  private Placement chosen(ServerState server, long nowNanos) {
    limitShares.tryTake(server, nowNanos);
    return new Placement.Chosen(server, server.load(nowNanos));
  }

  /** Returns the best server outside the preferred region, if the overflow budget permits one. */
  private Optional<ServerState> overflow(
      PlacementQuery query, String preferred, List<ServerState> usable, long nowNanos) {
    if (!overflowBudget.mayOverflow(query.service())) {
      return Optional.empty();
    }
    List<ServerState> elsewhere = new ArrayList<>();
    for (ServerState server : usable) {
      if (!server.region().equals(preferred) && !server.isCold(nowNanos)) {
        elsewhere.add(server);
      }
    }
    Optional<ServerState> best =
        earliestAnswer(query, candidates(query, rank(query, elsewhere), nowNanos));
    if (best.isPresent()) {
      overflowBudget.onOverflow(query.service());
    }
    return best;
  }

  /**
   * A server, past its cold start, that the request's object uses.
   *
   * @param server the server
   * @param waitNanos time that the request would spend in its queue
   * @param answeredNanos time until the response would arrive, including the time in the queue
   */
  private record Candidate(ServerState server, double waitNanos, double answeredNanos) {}

  private List<Candidate> candidates(
      PlacementQuery query, List<ServerState> ranked, long nowNanos) {
    List<Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < ranked.size(); i++) {
      ServerState server = ranked.get(i);
      if (i < SERVERS_PER_OBJECT
          || processingTimes.isKnownWarm(query.objectHash(), server, nowNanos)) {
        double waitNanos = waitNanos(server, query.service(), nowNanos);
        double answeredNanos = waitNanos + processingNanos(query, server, i, nowNanos);
        candidates.add(new Candidate(server, waitNanos, answeredNanos));
      }
    }
    return candidates;
  }

  /**
   * Returns the candidate whose response is expected first, of those whose queue is short enough;
   * empty if there is none or if its response would come after the deadline.
   */
  private Optional<ServerState> earliestAnswer(PlacementQuery query, List<Candidate> candidates) {
    double longestWaitNanos = longestWaitNanos(query);
    return candidates.stream()
        .filter(candidate -> candidate.waitNanos() <= longestWaitNanos)
        .min(Comparator.comparingDouble(Candidate::answeredNanos))
        .filter(candidate -> candidate.answeredNanos() <= query.remainingNanos())
        .map(Candidate::server);
  }

  private NoRoomDetails noRoomDetails(
      PlacementQuery query,
      String preferred,
      int available,
      List<ServerState> usable,
      List<Candidate> candidates,
      long nowNanos) {
    long cold =
        usable.stream().filter(c -> c.region().equals(preferred) && c.isCold(nowNanos)).count();
    return new NoRoomDetails(
        preferred,
        available,
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
        ? NoRoomDetails.NONE
        : toMillis(candidates.stream().mapToDouble(nanos).min().orElseThrow());
  }

  private static long toMillis(double nanos) {
    return (long) (nanos / NANOS_PER_MILLI);
  }

  /**
   * Returns the region that spillover gives the object, if it has usable servers; otherwise this
   * region, if it has some, or a region that has, chosen by the hash of the object.
   */
  private String preferredRegion(PlacementQuery query, List<ServerState> usable) {
    String preferred = spillover.regionFor(query.service(), query.objectHash());
    boolean hasServers = usable.stream().anyMatch(server -> server.region().equals(preferred));
    if (hasServers) {
      return preferred;
    }
    boolean hasLocalServers = usable.stream().anyMatch(server -> server.region().equals(region));
    if (hasLocalServers) {
      return region;
    }
    return usable.stream()
        .max(Comparator.comparingLong(server -> server.rendezvousScore(query.objectHash())))
        .map(ServerState::region)
        .orElse(region);
  }

  private static List<ServerState> inRegion(List<ServerState> servers, String region) {
    return servers.stream().filter(server -> server.region().equals(region)).toList();
  }

  private static List<ServerState> rank(PlacementQuery query, List<ServerState> servers) {
    List<ServerState> ranked = new ArrayList<>(servers);
    ranked.sort(
        Comparator.comparingLong((ServerState server) -> server.rendezvousScore(query.objectHash()))
            .reversed());
    return ranked;
  }

  private boolean tryUseColdServer(ServerState server, ServicePolicy policy, long nowNanos) {
    return server.load(nowNanos) < server.entry().slots()
        && coldOwners.isOwner(server, OWNERS_PER_COLD_SERVER)
        && server.tryTakeColdToken(
            policy.coldRequestsPerSecond() / OWNERS_PER_COLD_SERVER, nowNanos);
  }

  private double processingNanos(
      PlacementQuery query, ServerState server, int rank, long nowNanos) {
    boolean warm =
        rank < ProcessingTimes.SHARED_WARM_RANKS
            || processingTimes.isKnownWarm(query.objectHash(), server, nowNanos);
    double processing = warm ? processingTimes.warmNanos(query) : processingTimes.coldNanos(query);
    // Of servers that are otherwise equal, the first in rank is preferred.
    return processing * (1 + RANK_PENALTY * rank);
  }

  private double effectiveSlots(ServerState server, String service) {
    return server.effectiveSlots(processingTimes.coldNanos(service));
  }

  /** Returns the time until a slot is free, if the requests that the server has are warm. */
  private double waitNanos(ServerState server, String service, long nowNanos) {
    double slots = effectiveSlots(server, service);
    double ahead = Math.max(0, server.load(nowNanos) + 1 - slots);
    return ahead / slots * processingTimes.warmNanos(service);
  }

  private double longestWaitNanos(PlacementQuery query) {
    double warm = processingTimes.warmNanos(query);
    double waitInTime = query.targetLatencyNanos() - PROCESSING_MARGIN * warm;
    int priority = Math.clamp(query.priority(), 0, QUEUE_FRACTION_BY_PRIORITY.length - 1);
    double shortQueue = MIN_QUEUE_PROCESSING_TIMES * processingTimes.warmNanos(query.service());
    double longest = Math.max(waitInTime, shortQueue);
    return longest * QUEUE_FRACTION_BY_PRIORITY[priority];
  }

  /** Returns the shortest wait at a usable server, spread by a quarter either way by the hash. */
  private long retryAfterMillis(PlacementQuery query, List<ServerState> usable, long nowNanos) {
    double waitNanos = processingTimes.coldNanos(query.service());
    for (ServerState server : usable) {
      waitNanos = Math.min(waitNanos, waitNanos(server, query.service(), nowNanos));
    }
    long millis =
        (long)
            (waitNanos / NANOS_PER_MILLI * (0.75 + Hashes.toUnitInterval(query.objectHash()) / 2));
    return Math.clamp(millis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  /**
   * Records a successful response. Its time counts for the averages only if the server is in this
   * region and had a free slot when the request was sent.
   *
   * @param query what the server was chosen for
   * @param server the server that responded
   * @param loadBefore requests that the server had when it was chosen
   * @param responseTimeNanos time from sending the request to its response, in nanoseconds
   */
  public void onServed(
      PlacementQuery query,
      ServerState server,
      int loadBefore,
      long responseTimeNanos,
      long nowNanos) {
    if (loadBefore < server.entry().slots() && server.region().equals(region)) {
      processingTimes.onServed(query, server, responseTimeNanos, nowNanos);
    } else {
      processingTimes.onServedUntimed(query.objectHash(), server, nowNanos);
    }
  }

  /** Returns the average time that warm servers need for a request of the query's route, in ns. */
  public double warmNanos(PlacementQuery query) {
    return processingTimes.warmNanos(query);
  }

  /** Returns the average time that servers need for objects for which they are warm, in ns. */
  public double warmNanos(String service) {
    return processingTimes.warmNanos(service);
  }

  /** Returns the fraction of a service's requests that is sent to other regions, from 0 to 1. */
  public double spilloverFraction(String service) {
    return spillover.fraction(service);
  }

  /**
   * Adjusts, at most every {@link RegionSpillover#ADJUST_INTERVAL_NANOS}, the fractions of requests
   * that are sent to other regions to the load; call at every tick.
   */
  public void tick(Iterable<String> services, long nowNanos) {
    if (adjusted && nowNanos - adjustedNanos < RegionSpillover.ADJUST_INTERVAL_NANOS) {
      return;
    }
    adjustedNanos = nowNanos;
    adjusted = true;
    for (String service : services) {
      spillover.adjust(service, table.availableServers(service), nowNanos);
    }
  }
}
