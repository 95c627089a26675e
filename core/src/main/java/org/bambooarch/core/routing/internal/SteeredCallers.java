package org.bambooarch.core.routing.internal;

import java.util.concurrent.atomic.AtomicInteger;
import org.bambooarch.core.link.LinkBudget;

/** Counts the callers that live look-up answers sent over one link, in slices of their lifetime. */
public final class SteeredCallers {

  private static final int SLICES = 16;

  private final LinkBudget link;
  private final long sliceNanos;
  private final AtomicInteger live = new AtomicInteger();
  private final AtomicInteger[] slices = new AtomicInteger[SLICES + 1];
  private volatile int currentSlice;
  private long sliceEndsNanos;

  /** Creates a counter whose callers leave after the lifetime of an answer. */
  public SteeredCallers(LinkBudget link, long lifetimeNanos, long nowNanos) {
    this.link = link;
    this.sliceNanos = Math.max(1, lifetimeNanos / SLICES);
    this.sliceEndsNanos = nowNanos + sliceNanos;
    for (int slice = 0; slice < slices.length; slice++) {
      slices[slice] = new AtomicInteger();
    }
  }

  /** Counts one more caller if no more than the given number use the link; traffic threads. */
  public boolean tryAdd(int most) {
    while (true) {
      int current = live.get();
      if (current >= most) {
        return false;
      }
      if (live.compareAndSet(current, current + 1)) {
        slices[currentSlice].incrementAndGet();
        return true;
      }
    }
  }

  /** Forgets callers whose answer has expired and charges the others; control thread. */
  public void tick(long nowNanos, long bytesPerSecondOfCaller) {
    while (nowNanos - sliceEndsNanos >= 0) {
      int next = (currentSlice + 1) % slices.length;
      live.addAndGet(-slices[next].getAndSet(0));
      currentSlice = next;
      sliceEndsNanos += sliceNanos;
    }
    link.setSteeredBytesPerSecond(live.get() * bytesPerSecondOfCaller);
  }

  /** Returns the number of callers on the link. */
  public int live() {
    return live.get();
  }

  /** Returns the link. */
  public LinkBudget link() {
    return link;
  }
}
