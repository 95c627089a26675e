package org.bambooarch.core.steering.place;

import org.bambooarch.core.steering.hash.Hashes;

/**
 * The state of one server as this instance knows it: its load, latency, failures and warm-up.
 *
 * <p>Not thread-safe.
 */
public final class ServerState {

  /** Weight of one request in the moving averages of latency and failures. */
  private static final double SAMPLE_WEIGHT = 0.15;

  /** Fraction of failures above which a server is ejected: well above that of a healthy server. */
  private static final double EJECTION_FAILURE_RATE = 0.35;

  /**
   * Length of the first ejection of a failing server, in nanoseconds: 0.5 s; it doubles each time.
   */
  private static final long MIN_EJECTION_NANOS = 500_000_000L;

  /** Longest ejection of a failing server, in nanoseconds: 4 s. */
  private static final long MAX_EJECTION_NANOS = 4_000_000_000L;

  /** Time without requests to a server that rejected one as overloaded, in nanoseconds: 150 ms. */
  private static final long FULL_BACKOFF_NANOS = 150_000_000L;

  /** Time for which the load that came with a response counts, in nanoseconds: 1 s. */
  private static final long LOAD_REPORT_VALID_NANOS = 1_000_000_000L;

  private final int idHash;
  private final long rendezvousSeed;
  private final SingleTokenBucket coldTokens;
  private final SingleTokenBucket limitTokens;
  private final NamedLimit limit = new NamedLimit();
  private ServerEntry entry;
  private String region;
  private int ownInFlight;
  private int peersInFlight;
  private int reportedOthersInFlight;
  private long reportedNanos;
  private boolean loadReported;
  private double latencyNanos;
  private double failureRate;
  private int ejections;
  private long ejectedUntilNanos;
  private long fullUntilNanos;
  private long restUntilNanos;
  private long coldUntilNanos;
  private boolean connectionRefused;
  private boolean ejectedForConnection;
  private boolean partitioned;

  ServerState(ServerEntry entry, String region, long nowNanos) {
    this.entry = entry;
    this.region = region;
    this.idHash = Hashes.intOf(entry.id());
    this.rendezvousSeed = Hashes.of(entry.id());
    this.ejectedUntilNanos = nowNanos;
    this.fullUntilNanos = nowNanos;
    this.restUntilNanos = nowNanos;
    this.coldUntilNanos = nowNanos;
    this.coldTokens = new SingleTokenBucket(nowNanos);
    this.limitTokens = new SingleTokenBucket(nowNanos);
  }

  /** Returns what the server last reported of itself. */
  public ServerEntry entry() {
    return entry;
  }

  /** Returns the region of the server's data centre, or "" if it is not known. */
  public String region() {
    return region;
  }

  /** Returns the hash of the server's name that identifies it in heartbeats. */
  public int idHash() {
    return idHash;
  }

  /** Returns the number of requests of this instance that the server has. */
  public int ownInFlight() {
    return ownInFlight;
  }

  /** Replaces the entry; failures before a restart of the server no longer count. */
  void update(ServerEntry newer, String newRegion, long nowNanos) {
    boolean restarted = newer.startWallMillis() != entry.startWallMillis();
    entry = newer;
    region = newRegion;
    if (restarted) {
      failureRate = 0;
      ejectedUntilNanos = nowNanos;
      restUntilNanos = nowNanos;
      limit.reset();
    }
    if (newer.coldLeftMillis() > 0) {
      assumeCold(newer.coldLeftMillis(), nowNanos);
    }
  }

  /** Counts the server as cold for this time from now on; never shortens a longer time. */
  void assumeCold(long millis, long nowNanos) {
    long untilNanos = nowNanos + millis * 1_000_000L;
    if (untilNanos - coldUntilNanos > 0) {
      coldUntilNanos = untilNanos;
    }
  }

  void setPeersInFlight(int requests) {
    peersInFlight = requests;
  }

  /** Returns the number of requests that the server has from all instances, as far as known. */
  public int load(long nowNanos) {
    boolean fresh = loadReported && nowNanos - reportedNanos < LOAD_REPORT_VALID_NANOS;
    int others = fresh ? Math.max(peersInFlight, reportedOthersInFlight) : peersInFlight;
    return ownInFlight + others;
  }

  /**
   * Returns the number of slots to reckon with: fewer than the server has if its latency is at
   * least twice that of its service, and at least 1 then.
   */
  double effectiveSlots(double serviceLatencyNanos) {
    if (latencyNanos <= 0 || serviceLatencyNanos <= 0) {
      return entry.slots();
    }
    double slowdown = latencyNanos / serviceLatencyNanos;
    return slowdown < 2 ? entry.slots() : Math.max(1, 2 * entry.slots() / slowdown);
  }

  boolean isCold(long nowNanos) {
    return nowNanos - coldUntilNanos < 0;
  }

  /**
   * Returns whether the server is ejected or resting, or was overloaded within the back-off time.
   */
  boolean isAvoided(long nowNanos) {
    return nowNanos - ejectedUntilNanos < 0 || nowNanos - fullUntilNanos < 0 || isResting(nowNanos);
  }

  /** Returns whether the server wants no requests from this instance, as it stated itself. */
  public boolean isResting(long nowNanos) {
    return nowNanos - restUntilNanos < 0;
  }

  /**
   * Records that the server wants no requests from this instance for some time from now on; never
   * shortens a longer time.
   */
  public void onRestAsked(long millis, long nowNanos) {
    long untilNanos = nowNanos + millis * 1_000_000L;
    if (untilNanos - restUntilNanos > 0) {
      restUntilNanos = untilNanos;
    }
  }

  /** Takes a token for one request to the cold server, of which one at most is saved up. */
  boolean tryTakeColdToken(double perSecond, long nowNanos) {
    return coldTokens.tryTake(perSecond, nowNanos);
  }

  /** Records that a request is being sent to the server. */
  public void onSent() {
    ownInFlight++;
  }

  /** Records that the server no longer has a request, for whatever reason. */
  public void onRequestEnded() {
    ownInFlight--;
  }

  /** Records the latency and success of a response; call after {@link #onRequestEnded()}. */
  public void onAnswered(long responseTimeNanos, boolean failure) {
    latencyNanos +=
        SAMPLE_WEIGHT * (responseTimeNanos - latencyNanos) * (latencyNanos == 0 ? 5 : 1);
    recordOutcome(failure);
    connectionRefused = false;
  }

  /**
   * Records the load that the server reported with a response; call after {@link
   * #onRequestEnded()}, so that the finished request is not counted among this instance's requests.
   */
  public void onLoadReported(int running, int waiting, long nowNanos) {
    reportedOthersInFlight = Math.max(0, running + waiting - ownInFlight);
    reportedNanos = nowNanos;
    loadReported = true;
  }

  /**
   * Records that the server rejected a request as overloaded, which counts as a failure if by the
   * known load it had a free slot.
   */
  public void onShed(long nowNanos) {
    boolean hadRoom = load(nowNanos) < entry.slots();
    fullUntilNanos = nowNanos + FULL_BACKOFF_NANOS;
    recordOutcome(hadRoom);
    ejectIfFailing(nowNanos);
  }

  /** Records that a request got no response, or no complete one. */
  public void onLost(long nowNanos) {
    if (partitioned) {
      return;
    }
    recordOutcome(true);
    ejectedForConnection |= ejectIfFailing(nowNanos);
  }

  /**
   * Ejects the server because no connection could be opened: it is down or unreachable.
   *
   * @param refused whether it refused the connection, so that it is down
   */
  public void onUnreachable(boolean refused, long nowNanos) {
    if (partitioned) {
      return;
    }
    connectionRefused |= refused;
    eject(nowNanos);
    ejectedForConnection = true;
  }

  /**
   * Records that this instance is partitioned from all servers, or no longer is; ends an ejection
   * for failed or lost connections.
   */
  void onPartitionChanged(boolean nowPartitioned, long nowNanos) {
    partitioned = nowPartitioned;
    if (ejectedForConnection) {
      ejectedUntilNanos = nowNanos;
      ejections = 0;
      ejectedForConnection = false;
      connectionRefused = false;
    }
  }

  /** Ejects the server because another instance, as relay, could or would not reach it either. */
  public void onNotReachedByRelay(long nowNanos) {
    eject(nowNanos);
  }

  /**
   * Records an opened connection. A server that refused connections before has just started, and
   * counts as cold.
   */
  public void onConnected(long coldStartMillis, long nowNanos) {
    if (connectionRefused) {
      assumeCold(coldStartMillis, nowNanos);
      connectionRefused = false;
    }
  }

  /** Ejects the server for the longest time because another server has its address now. */
  public void onAddressReused(long nowNanos) {
    ejections = Integer.SIZE;
    eject(nowNanos);
  }

  /** Returns the limit of requests per second that the server has named. */
  public NamedLimit limit() {
    return limit;
  }

  /** Returns the tokens for requests to the server while it names a limit. */
  SingleTokenBucket limitTokens() {
    return limitTokens;
  }

  private void recordOutcome(boolean failure) {
    failureRate += SAMPLE_WEIGHT * ((failure ? 1 : 0) - failureRate);
    if (!failure && failureRate < EJECTION_FAILURE_RATE / 2) {
      ejections = 0;
    }
  }

  private boolean ejectIfFailing(long nowNanos) {
    if (failureRate <= EJECTION_FAILURE_RATE) {
      return false;
    }
    failureRate = EJECTION_FAILURE_RATE / 2;
    eject(nowNanos);
    return true;
  }

  private void eject(long nowNanos) {
    long ejectionNanos = MIN_EJECTION_NANOS << Math.min(ejections, 3);
    ejections++;
    ejectedUntilNanos = nowNanos + Math.min(ejectionNanos, MAX_EJECTION_NANOS);
    ejectedForConnection = false;
  }

  /** Returns the score by which rendezvous hashing ranks this server for an object. */
  long rendezvousScore(long objectHash) {
    return Hashes.combine(objectHash, rendezvousSeed);
  }
}
