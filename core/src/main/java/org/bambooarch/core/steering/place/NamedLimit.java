package org.bambooarch.core.steering.place;

import java.util.OptionalDouble;

/**
 * The limit of requests per second from all instances together that a server names in its
 * responses, for as long as it does so.
 *
 * <p>Responses to this instance count first. Without recent ones, which is the case where only
 * other instances may send requests to the server, what those report in their heartbeats counts.
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

  /**
   * Time after a response without a limit in which the other instances' reports do not count, in
   * nanoseconds: 1 s. They may be older than that response.
   */
  static final long ABSENCE_VALID_NANOS = 1_000_000_000L;

  private double ownPerSecond = UNLIMITED;
  private long ownNanos;
  private boolean responded;
  private double reportedPerSecond = UNLIMITED;

  /**
   * Records the limit that a response of the server names.
   *
   * @param perSecond requests per second from all instances together; empty if the response names
   *     no limit
   */
  public void onResponse(OptionalDouble perSecond, long nowNanos) {
    ownPerSecond = perSecond.orElse(UNLIMITED);
    ownNanos = nowNanos;
    responded = true;
  }

  /**
   * Replaces what the other instances report.
   *
   * @param perSecond the lowest limit that they report, in requests per second, or {@link
   *     #UNLIMITED}
   */
  void setReported(double perSecond) {
    reportedPerSecond = perSecond;
  }

  /** Returns the limit that holds, in requests per second, or {@link #UNLIMITED}. */
  double perSecond(long nowNanos) {
    boolean absent =
        responded && ownPerSecond == UNLIMITED && nowNanos - ownNanos < ABSENCE_VALID_NANOS;
    double own = ownPerSecond(nowNanos);
    return absent || own != UNLIMITED ? own : reportedPerSecond;
  }

  /**
   * Returns the limit that a response to this instance has named lately, in requests per second, or
   * {@link #UNLIMITED}.
   */
  public double ownPerSecond(long nowNanos) {
    return responded && nowNanos - ownNanos < VALID_NANOS ? ownPerSecond : UNLIMITED;
  }

  /** Forgets the limit; call when the server was started again. */
  void reset() {
    ownPerSecond = UNLIMITED;
    reportedPerSecond = UNLIMITED;
    responded = false;
  }
}
