package org.bambooarch.core.routing.internal;

import java.util.concurrent.atomic.AtomicInteger;
import org.bambooarch.core.link.LinkBudget;

/** Counts the callers that live look-up answers sent over one link, in slices of their lifetime. */
public final class CrossRegionCallers {

  private static final int SLICES = 16;

  private final LinkBudget link;
  private final long sliceNanos;
  private final AtomicInteger currentCallers = new AtomicInteger();
  private final AtomicInteger[] slices = new AtomicInteger[SLICES + 1];
  private volatile int currentSlice;
  private long sliceEndsNanos;

  /** Creates a counter whose callers leave after the lifetime of an answer. */
  public CrossRegionCallers(LinkBudget link, long lifetimeNanos, long nowNanos) {
    this.link = link;
    this.sliceNanos = Math.max(1, lifetimeNanos / SLICES);
    this.sliceEndsNanos = nowNanos + sliceNanos;
    for (int slice = 0; slice < slices.length; slice++) {
      slices[slice] = new AtomicInteger();
    }
  }

  /** Counts one more caller if no more than the given number use the link; traffic threads. */
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

  /** Forgets callers whose answer has expired and charges the others; control thread. */
  public void tick(long nowNanos, long bytesPerSecondPerCaller) {
    while (nowNanos - sliceEndsNanos >= 0) {
      int next = (currentSlice + 1) % slices.length;
      currentCallers.addAndGet(-slices[next].getAndSet(0));
      currentSlice = next;
      sliceEndsNanos += sliceNanos;
    }
    link.setCrossRegionCallerBytesPerSecond(currentCallers.get() * bytesPerSecondPerCaller);
  }

  /** Returns the number of callers on the link. */
  public int currentCallers() {
    return currentCallers.get();
  }

  /** Returns the link. */
  public LinkBudget link() {
    return link;
  }
}
