package org.bambooarch.core.steering.place;

/**
 * Divides the limits that servers name among the instances, and holds this instance's requests
 * within its shares.
 *
 * <p>Only the owners of a server ({@link ServerOwners}) may send requests to it while it names a
 * limit, each an equal part. The other instances use other servers meanwhile, and learn from the
 * owners' heartbeats that the limit still holds.
 *
 * <p>Not thread-safe.
 */
public final class LimitShares {

  /**
   * Smallest share of an owner, in requests per second, unless the limit itself is smaller. Each
   * owner may have saved up a token, so the more owners there are, the more requests may exceed the
   * limit for a moment.
   */
  static final double MIN_SHARE_PER_SECOND = 2;

  private final ServerOwners owners;

  /**
   * Creates the shares of an instance.
   *
   * @param owners decides which instances may send to a server that names a limit; an instance that
   *     may be alive behind a network partition must count as one of them
   */
  public LimitShares(ServerOwners owners) {
    this.owners = owners;
  }

  /**
   * Returns how many requests per second this instance may send to the server: {@link
   * NamedLimit#UNLIMITED} if the server names no limit, and 0 if only other instances may send.
   */
  double sharePerSecond(ServerState server, long nowNanos) {
    double limitPerSecond = server.limit().perSecond(nowNanos);
    if (limitPerSecond == NamedLimit.UNLIMITED) {
      return NamedLimit.UNLIMITED;
    }
    int candidates = owners.candidateCount(server);
    int ownerCount = (int) Math.clamp(limitPerSecond / MIN_SHARE_PER_SECOND, 1, candidates);
    return owners.isOwner(server, ownerCount) ? limitPerSecond / ownerCount : 0;
  }

  /** Returns whether this instance may send a request to the server now. */
  boolean permits(ServerState server, long nowNanos) {
    double perSecond = sharePerSecond(server, nowNanos);
    return perSecond == NamedLimit.UNLIMITED || server.limitTokens().hasToken(perSecond, nowNanos);
  }

  /** Counts a request to the server against the share; returns false if it may not be sent. */
  public boolean tryTake(ServerState server, long nowNanos) {
    double perSecond = sharePerSecond(server, nowNanos);
    return perSecond == NamedLimit.UNLIMITED || server.limitTokens().tryTake(perSecond, nowNanos);
  }
}
