package org.bambooarch.core.routing.internal;

import java.util.concurrent.atomic.AtomicInteger;

/** Counters of one service in one region, written by traffic threads. */
public final class PoolCounters {

  private final boolean remote;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger noRoom = new AtomicInteger();
  private final AtomicInteger chosen = new AtomicInteger();

  /** Creates a cell; remote says whether the region is another one than this instance's. */
  public PoolCounters(boolean remote) {
    this.remote = remote;
  }

  /** Returns whether requests to this pool cross a link. */
  public boolean isRemote() {
    return remote;
  }

  /** Takes one place if fewer than the limit are taken. */
  public boolean tryAcquire(int limit) {
    while (true) {
      int current = inFlight.get();
      if (current >= limit) {
        return false;
      }
      if (inFlight.compareAndSet(current, current + 1)) {
        return true;
      }
    }
  }

  /** Returns one place. */
  public void release() {
    inFlight.decrementAndGet();
  }

  /** Returns the requests of this instance in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Counts a request that was given a server here. */
  public void addChosen() {
    chosen.incrementAndGet();
  }

  /** Returns and clears the requests that were given a server. */
  public int takeChosen() {
    return chosen.getAndSet(0);
  }

  /** Counts a request that found no room here. */
  public void addNoRoom() {
    noRoom.incrementAndGet();
  }

  /** Returns and clears the requests that found no room. */
  public int takeNoRoom() {
    return noRoom.getAndSet(0);
  }
}
