package org.bambooarch.core.link;

import java.util.concurrent.atomic.AtomicLong;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.time.Clock;

/**
 * This instance's byte budget on one direction of a link between regions.
 *
 * <p>Two checks keep the link under its cap. {@link #tryReserve} bounds the bytes that requests in
 * flight are expected to move, before a request is sent. {@link #acquireUpTo} paces the bytes that
 * really move: the sum of grants in any {@link #WINDOW_NANOS} is at most the share of the cap times
 * the window.
 *
 * <p>Grants follow the generic cell rate algorithm (ITU-T I.371) with a sustained rate of {@value
 * #SUSTAINED_PERCENT}% of the share and a burst of the remaining part of one window, because a
 * bucket admits burst plus rate times window. All methods are safe for use from many threads and
 * allocate nothing.
 *
 * <pre>{@code
 * long granted = budget.acquireUpTo(65_536, PriorityClass.BULK);
 * if (granted == 0) {
 *   readAgainAtNanos = clock.monotonicNanos() + budget.nanosUntilGrant(PriorityClass.BULK);
 * }
 * }</pre>
 */
public final class LinkBudget {

  /** Length of the window in which the cap holds. */
  public static final long WINDOW_NANOS = 100_000_000L;

  /** Part of the share that is granted as a steady rate. */
  public static final int SUSTAINED_PERCENT = 90;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long BURST_PERCENT_OF_WINDOW = 100 - SUSTAINED_PERCENT;

  /** Expected bytes in flight may fill this much time of the share. */
  private static final long MAX_RESERVED_NANOS = 250_000_000L;

  /** Part of the burst that bulk answers leave to other classes. */
  private static final int BURST_PERCENT_KEPT_FROM_BULK = 50;

  /** Smallest grant worth a read, so that pacing does not wake a reader for a few bytes. */
  private static final long MIN_GRANT_BYTES = 1_024L;

  private final String fromRegion;
  private final String toRegion;
  private final Clock clock;
  private final AtomicLong reservedBytes = new AtomicLong();
  private final AtomicLong movedBytes = new AtomicLong();

  /** Theoretical arrival time of the next byte; ahead of now by the part of the burst in use. */
  private final AtomicLong theoreticalArrivalNanos;

  private volatile long shareBytesPerSecond;

  /** Part of the share that is left after the callers that look-ups sent over the link. */
  private volatile long usableBytesPerSecond;

  /** Creates a budget with no burst saved up. */
  LinkBudget(String fromRegion, String toRegion, long shareBytesPerSecond, Clock clock) {
    this.fromRegion = fromRegion;
    this.toRegion = toRegion;
    this.shareBytesPerSecond = shareBytesPerSecond;
    this.usableBytesPerSecond = shareBytesPerSecond;
    this.clock = clock;
    long burstNanos = shareBytesPerSecond == 0 ? 0 : burstNanos(shareBytesPerSecond);
    this.theoreticalArrivalNanos = new AtomicLong(clock.monotonicNanos() + burstNanos);
  }

  /** Returns the name of the sending region. */
  public String fromRegion() {
    return fromRegion;
  }

  /** Returns the name of the receiving region. */
  public String toRegion() {
    return toRegion;
  }

  /** Returns this instance's share of the cap in bytes per second. */
  public long shareBytesPerSecond() {
    return shareBytesPerSecond;
  }

  /** Returns the bytes that requests in flight are expected to move. */
  public long reservedBytes() {
    return reservedBytes.get();
  }

  /** Returns the bytes granted or charged since the start. */
  public long movedBytes() {
    return movedBytes.get();
  }

  /**
   * Reserves room for the expected bytes of one request, to be returned by {@link #release}.
   *
   * <p>A request larger than the bound is admitted when nothing else is reserved, so that it is
   * slow instead of impossible.
   */
  public boolean tryReserve(long expectedBytes) {
    long share = usableBytesPerSecond;
    if (share == 0) {
      return false;
    }
    long maxReservedBytes = bytesIn(MAX_RESERVED_NANOS, share);
    while (true) {
      long reserved = reservedBytes.get();
      if (reserved > 0 && reserved + expectedBytes > maxReservedBytes) {
        return false;
      }
      if (reservedBytes.compareAndSet(reserved, reserved + expectedBytes)) {
        return true;
      }
    }
  }

  /** Returns a reservation when the request has ended. */
  public void release(long expectedBytes) {
    reservedBytes.addAndGet(-expectedBytes);
  }

  /**
   * Takes up to the wanted number of bytes that may cross the link now.
   *
   * @param wantedBytes bytes ready to move
   * @param priority class of the request; bulk leaves part of the burst to the other classes
   * @return bytes granted, from 0 to {@code wantedBytes}
   */
  public long acquireUpTo(long wantedBytes, PriorityClass priority) {
    long share = usableBytesPerSecond;
    if (share == 0 || wantedBytes <= 0) {
      return 0;
    }
    long usableNanos = usableBurstNanos(share, priority);
    while (true) {
      long next = theoreticalArrivalNanos.get();
      long now = clock.monotonicNanos();
      long start = Math.max(next, now);
      long availableBytes = bytesIn(usableNanos - (start - now), sustainedBytesPerSecond(share));
      if (availableBytes < Math.min(MIN_GRANT_BYTES, wantedBytes)) {
        return 0;
      }
      long granted = Math.min(wantedBytes, availableBytes);
      if (theoreticalArrivalNanos.compareAndSet(
          next, start + nanosFor(granted, sustainedBytesPerSecond(share)))) {
        movedBytes.addAndGet(granted);
        return granted;
      }
    }
  }

  /** Charges bytes that moved without a grant; later grants wait until the debt is paid. */
  public void charge(long bytes) {
    long share = usableBytesPerSecond;
    if (share == 0 || bytes <= 0) {
      return;
    }
    long costNanos = nanosFor(bytes, sustainedBytesPerSecond(share));
    long now = clock.monotonicNanos();
    theoreticalArrivalNanos.updateAndGet(next -> Math.max(next, now) + costNanos);
    movedBytes.addAndGet(bytes);
  }

  /** Returns the time until {@link #acquireUpTo} can grant again, in nanoseconds. */
  public long nanosUntilGrant(PriorityClass priority) {
    long share = usableBytesPerSecond;
    if (share == 0) {
      return WINDOW_NANOS;
    }
    long neededNanos = nanosFor(MIN_GRANT_BYTES, sustainedBytesPerSecond(share));
    long usedNanos = theoreticalArrivalNanos.get() - clock.monotonicNanos();
    return Math.max(0, usedNanos + neededNanos - usableBurstNanos(share, priority));
  }

  /** Returns the free part of the burst, from 0 (in debt) to 1. */
  public double headroom() {
    long share = usableBytesPerSecond;
    if (share == 0) {
      return 0;
    }
    long usedNanos = Math.max(0, theoreticalArrivalNanos.get() - clock.monotonicNanos());
    return Math.max(0, 1 - (double) usedNanos / burstNanos(share));
  }

  /**
   * Changes this instance's share; called by the control thread only.
   *
   * <p>What may be moved at once does not grow: the share that came from another instance was
   * perhaps used there a moment ago.
   */
  public void setShareBytesPerSecond(long newShare) {
    long crossRegionCallerBytesPerSecond = shareBytesPerSecond - usableBytesPerSecond;
    shareBytesPerSecond = newShare;
    setUsable(Math.max(0, newShare - crossRegionCallerBytesPerSecond));
  }

  /**
   * Sets aside what callers move over the link by themselves because look-ups sent them there;
   * called by the control thread only.
   */
  public void setCrossRegionCallerBytesPerSecond(long crossRegionCallerBytesPerSecond) {
    setUsable(Math.max(0, shareBytesPerSecond - crossRegionCallerBytesPerSecond));
  }

  private void setUsable(long newUsable) {
    long oldUsable = usableBytesPerSecond;
    if (newUsable == oldUsable) {
      return;
    }
    long now = clock.monotonicNanos();
    long availableBytes = oldUsable == 0 ? 0 : availableBytes(now, oldUsable);
    usableBytesPerSecond = newUsable;
    if (newUsable > 0) {
      long availableNanos = nanosFor(availableBytes, sustainedBytesPerSecond(newUsable));
      long start = now + Math.max(0, burstNanos(newUsable) - availableNanos);
      theoreticalArrivalNanos.updateAndGet(next -> Math.max(next, start));
    }
  }

  private long availableBytes(long now, long share) {
    long usedNanos = Math.max(0, theoreticalArrivalNanos.get() - now);
    return Math.max(0, bytesIn(burstNanos(share) - usedNanos, sustainedBytesPerSecond(share)));
  }

  private static long usableBurstNanos(long share, PriorityClass priority) {
    long burstNanos = burstNanos(share);
    if (priority != PriorityClass.BULK) {
      return burstNanos;
    }
    return burstNanos * (100 - BURST_PERCENT_KEPT_FROM_BULK) / 100;
  }

  /** Time that the sustained rate needs for the burst, so that both fill one window of the cap. */
  private static long burstNanos(long share) {
    long burstBytes = bytesIn(WINDOW_NANOS * BURST_PERCENT_OF_WINDOW / 100, share);
    return (long) ((double) burstBytes * NANOS_PER_SECOND / sustainedBytesPerSecond(share));
  }

  private static long sustainedBytesPerSecond(long share) {
    return Math.max(1, share * SUSTAINED_PERCENT / 100);
  }

  private static long bytesIn(long nanos, long bytesPerSecond) {
    return (long) ((double) nanos * bytesPerSecond / NANOS_PER_SECOND);
  }

  private static long nanosFor(long bytes, long bytesPerSecond) {
    return (long) Math.ceil((double) bytes * NANOS_PER_SECOND / bytesPerSecond);
  }
}
