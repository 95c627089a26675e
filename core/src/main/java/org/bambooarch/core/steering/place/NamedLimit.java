package org.bambooarch.core.steering.place;

import java.util.OptionalDouble;

/**
 * The limit of requests per second from all instances together that a server names in its
 * responses, for as long as it does so.
 *
 * <p>Not thread-safe.
 */
public final class NamedLimit {

  /** The value where there is no limit. */
  public static final double UNLIMITED = Double.POSITIVE_INFINITY;

  /**
   * Time for which a limit holds after the last response that named it, in nanoseconds: 5 s. A
   * server that gets no requests cannot tell that the limit has ended.
   */
  static final long VALID_NANOS = 5_000_000_000L;

  private double ownPerSecond = UNLIMITED;
  private long ownNanos;

  /**
   * Records the limit that a response of the server names.
   *
   * @param perSecond requests per second from all instances together; empty if the response names
   *     no limit
   */
  public void onResponse(OptionalDouble perSecond, long nowNanos) {
    ownPerSecond = perSecond.orElse(UNLIMITED);
    ownNanos = nowNanos;
  }

  /**
   * Returns the limit that a response to this instance has named lately, in requests per second, or
   * {@link #UNLIMITED}.
   */
  public double ownPerSecond(long nowNanos) {
    return nowNanos - ownNanos < VALID_NANOS ? ownPerSecond : UNLIMITED;
  }

  /** Forgets the limit; call when the server was started again. */
  void reset() {
    ownPerSecond = UNLIMITED;
  }
}
