package org.bambooarch.core.routing.internal;

import java.util.concurrent.atomic.AtomicInteger;
import org.bambooarch.core.link.LinkBudget;

/**
 * Counts the callers that look-ups sent over one link and whose look-up results have not expired.
 * The lifetime of a result is divided into slices, and the callers of a slice expire together.
 */
public final class CrossRegionCallers {

  private static final int SLICES = 16;

  private final LinkBudget link;
  private final long sliceNanos;
  private final AtomicInteger currentCallers = new AtomicInteger();
  private final AtomicInteger[] slices = new AtomicInteger[SLICES + 1];
  private volatile int currentSlice;
  private long sliceEndsNanos;

  /**
   * Creates a counter with no callers.
   *
   * @param lifetimeNanos time for which a caller counts, in nanoseconds; it counts up to 1/16
   *     longer
   */
  public CrossRegionCallers(LinkBudget link, long lifetimeNanos, long nowNanos) {
    this.link = link;
    this.sliceNanos = Math.max(1, lifetimeNanos / SLICES);
    this.sliceEndsNanos = nowNanos + sliceNanos;
    for (int slice = 0; slice < slices.length; slice++) {
      slices[slice] = new AtomicInteger();
    }
  }

  /**
   * Counts one more caller if fewer than {@code maxCallers} are counted, and returns whether it
   * did; called by request threads.
   */
  public boolean tryAdd(int maxCallers) {
    while (true) {
      int current = currentCallers.get();
      if (current >= maxCallers) {
        return false;
      }
      if (currentCallers.compareAndSet(current, current + 1)) {
        slices[currentSlice].incrementAndGet();
        return true;
      }
    }
  }

  /**
   * Stops counting callers whose look-up results have expired and charges the link for the others;
   * called by the control thread only.
   */
  public void tick(long nowNanos, long bytesPerSecondPerCaller) {
    while (nowNanos - sliceEndsNanos >= 0) {
      int next = (currentSlice + 1) % slices.length;
      currentCallers.addAndGet(-slices[next].getAndSet(0));
      currentSlice = next;
      sliceEndsNanos += sliceNanos;
    }
    link.setCrossRegionCallerBytesPerSecond(currentCallers.get() * bytesPerSecondPerCaller);
  }

  /** Returns the number of callers that count as using the link now. */
  public int currentCallers() {
    return currentCallers.get();
  }

  /** Returns the budget of the link that the responses to these callers cross. */
  public LinkBudget link() {
    return link;
  }
}
