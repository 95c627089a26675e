package org.bambooarch.core.link;

import java.util.concurrent.atomic.AtomicLong;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.time.Clock;

/**
 * This instance's byte budget on one direction of a link between regions.
 *
 * <p>Two checks keep the link under its cap. {@link #tryReserve} bounds the bytes that requests in
 * flight are expected to transfer, before a request is sent. {@link #acquireUpTo} paces the bytes
 * that are transferred: the sum of grants in any interval of {@link #WINDOW_NANOS} is at most this
 * instance's share of the cap times the interval.
 *
 * <p>Grants follow the generic cell rate algorithm (ITU-T I.371) with a sustained rate of {@value
 * #SUSTAINED_PERCENT}% of the share and a burst of the rest of one window, because a token bucket
 * admits its burst plus the rate times the window. All methods are safe for use from many threads
 * unless they say otherwise, and allocate nothing.
 *
 * <pre>{@code
 * long granted = budget.acquireUpTo(65_536, PriorityClass.BULK);
 * if (granted == 0) {
 *   readAgainAtNanos = clock.monotonicNanos() + budget.nanosUntilGrant(PriorityClass.BULK);
 * }
 * }</pre>
 */
public final class LinkBudget {

  /** Length of the intervals in which the cap holds: 100 ms. */
  public static final long WINDOW_NANOS = 100_000_000L;

  /** Percentage of the share that is granted as a sustained rate. */
  public static final int SUSTAINED_PERCENT = 90;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long BURST_PERCENT_OF_WINDOW = 100 - SUSTAINED_PERCENT;

  /** The expected bytes in flight may be as many as the share admits in this time. */
  private static final long MAX_RESERVED_NANOS = 250_000_000L;

  /** Percentage of the burst that bulk responses leave to other priority classes. */
  private static final int BURST_PERCENT_KEPT_FROM_BULK = 50;

  /**
   * Smallest grant, unless fewer bytes are wanted, so that pacing does not wake a reader for a few
   * bytes.
   */
  private static final long MIN_GRANT_BYTES = 1_024L;

  private final String fromRegion;
  private final String toRegion;
  private final Clock clock;
  private final AtomicLong reservedBytes = new AtomicLong();
  private final AtomicLong movedBytes = new AtomicLong();

  /**
   * Theoretical arrival time of the next byte; ahead of now by the part of the burst that is used.
   */
  private final AtomicLong theoreticalArrivalNanos;

  private volatile long shareBytesPerSecond;

  /** The share without what callers that look-ups sent over the link are assumed to use. */
  private volatile long usableBytesPerSecond;

  /** Creates a budget whose burst is used up, so that it starts with the sustained rate only. */
  LinkBudget(String fromRegion, String toRegion, long shareBytesPerSecond, Clock clock) {
    this.fromRegion = fromRegion;
    this.toRegion = toRegion;
    this.shareBytesPerSecond = shareBytesPerSecond;
    this.usableBytesPerSecond = shareBytesPerSecond;
    this.clock = clock;
    long burstNanos = shareBytesPerSecond == 0 ? 0 : burstNanos(shareBytesPerSecond);
    this.theoreticalArrivalNanos = new AtomicLong(clock.monotonicNanos() + burstNanos);
  }

  /** Returns the name of the region that sends in this direction of the link. */
  public String fromRegion() {
    return fromRegion;
  }

  /** Returns the name of the region that receives in this direction of the link. */
  public String toRegion() {
    return toRegion;
  }

  /** Returns this instance's share of the link's cap, in bytes per second. */
  public long shareBytesPerSecond() {
    return shareBytesPerSecond;
  }

  /** Returns the number of bytes that requests in flight are expected to transfer. */
  public long reservedBytes() {
    return reservedBytes.get();
  }

  /** Returns the number of bytes granted or charged since this budget was created. */
  public long movedBytes() {
    return movedBytes.get();
  }

  /**
   * Reserves the expected bytes of one request, to be returned by {@link #release}, and returns
   * whether it did. Nothing is reserved while the share is 0.
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

  /** Returns a reservation of {@link #tryReserve} after its request has ended. */
  public void release(long expectedBytes) {
    reservedBytes.addAndGet(-expectedBytes);
  }

  /**
   * Takes as many bytes as may cross the link now, up to the wanted number.
   *
   * @param wantedBytes number of bytes that are ready to be sent
   * @param priority priority class of the request; bulk leaves half of the burst to the others
   * @return number of bytes granted, from 0 to {@code wantedBytes}
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

  /**
   * Charges bytes that were transferred without a grant; later grants wait until the sustained rate
   * has made up for them. Charges nothing while the share is 0.
   */
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

  /**
   * Returns the time in nanoseconds until {@link #acquireUpTo} can grant bytes again, 0 if it can
   * now. While the share is 0, it is {@link #WINDOW_NANOS}.
   */
  public long nanosUntilGrant(PriorityClass priority) {
    long share = usableBytesPerSecond;
    if (share == 0) {
      return WINDOW_NANOS;
    }
    long neededNanos = nanosFor(MIN_GRANT_BYTES, sustainedBytesPerSecond(share));
    long usedNanos = theoreticalArrivalNanos.get() - clock.monotonicNanos();
    return Math.max(0, usedNanos + neededNanos - usableBurstNanos(share, priority));
  }

  /** Returns the unused fraction of the burst, from 0 (used up or exceeded) to 1. */
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
   * <p>The bytes that may be taken at once do not grow: a share that came from another instance may
   * have been used there just before.
   */
  public void setShareBytesPerSecond(long newShare) {
    long crossRegionCallerBytesPerSecond = shareBytesPerSecond - usableBytesPerSecond;
    shareBytesPerSecond = newShare;
    setUsable(Math.max(0, newShare - crossRegionCallerBytesPerSecond));
  }

  /**
   * Sets the bytes per second that callers transfer over the link by themselves because look-ups
   * sent them to the other region. They are subtracted from the share; called by the control thread
   * only.
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

  /**
   * Returns the time that the sustained rate needs for the burst. The burst and the sustained rate
   * together use the share of one window.
   */
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
