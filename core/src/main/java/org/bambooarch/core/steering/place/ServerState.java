package org.bambooarch.core.steering.place;

import org.bambooarch.core.steering.hash.Hashes;

/**
 * One server as this instance sees it.
 *
 * <p>Not thread-safe.
 */
public final class ServerState {

  /** Weight of one request in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.15;

  /** Rate of failures at which a server is avoided: well above the errors of a sound server. */
  private static final double EJECTION_FAILURE_RATE = 0.35;

  /** First and longest time for which a failing server is avoided, in nanoseconds. */
  private static final long MIN_EJECTION_NANOS = 500_000_000L;

  private static final long MAX_EJECTION_NANOS = 4_000_000_000L;

  /** How long a server that said it has no room is left alone, in nanoseconds. */
  private static final long FULL_BACKOFF_NANOS = 150_000_000L;

  /** How long the load in an answer counts, in nanoseconds. */
  private static final long LOAD_REPORT_VALID_NANOS = 1_000_000_000L;

  private final int idHash;
  private final long rendezvousSeed;
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
  private long coldUntilNanos;
  private boolean connectionRefused;
  private double coldTokens;
  private long coldRefilledNanos;

  ServerState(ServerEntry entry, String region, long nowNanos) {
    this.entry = entry;
    this.region = region;
    this.idHash = Hashes.intOf(entry.id());
    this.rendezvousSeed = Hashes.of(entry.id());
    this.ejectedUntilNanos = nowNanos;
    this.fullUntilNanos = nowNanos;
    this.coldUntilNanos = nowNanos;
    this.coldRefilledNanos = nowNanos;
  }

  /** Returns what the server says of itself. */
  public ServerEntry entry() {
    return entry;
  }

  /** Returns the region that holds the server. */
  public String region() {
    return region;
  }

  /** Returns the hash that stands for the server in heartbeats. */
  public int idHash() {
    return idHash;
  }

  /** Returns the requests of this instance that the server has. */
  public int ownInFlight() {
    return ownInFlight;
  }

  void update(ServerEntry newer, String newRegion, long nowNanos) {
    boolean restarted = newer.startWallMillis() != entry.startWallMillis();
    entry = newer;
    region = newRegion;
    if (restarted) {
      failureRate = 0;
      ejectedUntilNanos = nowNanos;
    }
    if (newer.coldLeftMillis() > 0) {
      assumeCold(newer.coldLeftMillis(), nowNanos);
    }
  }

  void assumeCold(long millis, long nowNanos) {
    long untilNanos = nowNanos + millis * 1_000_000L;
    if (untilNanos - coldUntilNanos > 0) {
      coldUntilNanos = untilNanos;
    }
  }

  void setPeersInFlight(int requests) {
    peersInFlight = requests;
  }

  /** Returns the requests that the server has from all instances, as far as known. */
  public int load(long nowNanos) {
    boolean fresh = loadReported && nowNanos - reportedNanos < LOAD_REPORT_VALID_NANOS;
    int others = fresh ? Math.max(peersInFlight, reportedOthersInFlight) : peersInFlight;
    return ownInFlight + others;
  }

  /** Returns the slots, fewer if the server is much slower than its service. */
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

  boolean isAvoided(long nowNanos) {
    return nowNanos - ejectedUntilNanos < 0 || nowNanos - fullUntilNanos < 0;
  }

  boolean tryTakeColdToken(double perSecond, long nowNanos) {
    double seconds = (nowNanos - coldRefilledNanos) / 1e9;
    coldTokens = Math.min(1, coldTokens + seconds * perSecond);
    coldRefilledNanos = nowNanos;
    if (coldTokens < 1) {
      return false;
    }
    coldTokens--;
    return true;
  }

  /** Notes that a request is on its way to the server. */
  public void onSent() {
    ownInFlight++;
  }

  /** Notes that the server has a request no longer, however that came. */
  public void onRequestEnded() {
    ownInFlight--;
  }

  /** Takes in an answer; call after {@link #onRequestEnded()}. */
  public void onAnswered(long tookNanos, boolean failure) {
    latencyNanos += SAMPLE_WEIGHT * (tookNanos - latencyNanos) * (latencyNanos == 0 ? 5 : 1);
    recordOutcome(failure);
    connectionRefused = false;
  }

  /**
   * Takes in the load that the server told with an answer; call after {@link #onRequestEnded()}.
   */
  public void onLoadReported(int running, int waiting, long nowNanos) {
    reportedOthersInFlight = Math.max(0, running + waiting - ownInFlight);
    reportedNanos = nowNanos;
    loadReported = true;
  }

  /** Notes that the server had no room. */
  public void onShed(long nowNanos) {
    boolean hadRoom = load(nowNanos) < entry.slots();
    fullUntilNanos = nowNanos + FULL_BACKOFF_NANOS;
    recordOutcome(hadRoom);
    ejectIfFailing(nowNanos);
  }

  /** Notes that an answer never came, or not a whole one. */
  public void onLost(long nowNanos) {
    recordOutcome(true);
    ejectIfFailing(nowNanos);
  }

  /** Notes that no connection could be opened, and so that the server is down or cut off. */
  public void onUnreachable(boolean refused, long nowNanos) {
    connectionRefused |= refused;
    eject(nowNanos);
  }

  /** Notes an opened connection; a server that was down before has just started, and is cold. */
  public void onConnected(long coldStartMillis, long nowNanos) {
    if (connectionRefused) {
      assumeCold(coldStartMillis, nowNanos);
      connectionRefused = false;
    }
  }

  /** Notes that another server has the address now. */
  public void onAddressReused(long nowNanos) {
    ejections = Integer.SIZE;
    eject(nowNanos);
  }

  private void recordOutcome(boolean failure) {
    failureRate += SAMPLE_WEIGHT * ((failure ? 1 : 0) - failureRate);
    if (!failure && failureRate < EJECTION_FAILURE_RATE / 2) {
      ejections = 0;
    }
  }

  private void ejectIfFailing(long nowNanos) {
    if (failureRate > EJECTION_FAILURE_RATE) {
      failureRate = EJECTION_FAILURE_RATE / 2;
      eject(nowNanos);
    }
  }

  private void eject(long nowNanos) {
    long ejectionNanos = MIN_EJECTION_NANOS << Math.min(ejections, 3);
    ejections++;
    ejectedUntilNanos = nowNanos + Math.min(ejectionNanos, MAX_EJECTION_NANOS);
  }

  long rendezvousScore(long objectHash) {
    return Hashes.combine(objectHash, rendezvousSeed);
  }
}
