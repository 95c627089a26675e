package org.bambooarch.core.routing.internal;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counters of one {@link ServerPool}. Request threads write them, and the control thread reads and
 * resets them.
 */
public final class PoolCounters {

  private final boolean remote;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger noRoom = new AtomicInteger();
  private final AtomicInteger chosen = new AtomicInteger();

  /**
   * Creates counters that are all zero.
   *
   * @param remote whether the pool's region is not this instance's own
   */
  public PoolCounters(boolean remote) {
    this.remote = remote;
  }

  /** Returns whether requests to this pool cross a link to another region. */
  public boolean isRemote() {
    return remote;
  }

  /**
   * Counts one more request in flight if fewer than {@code limit} are, and returns whether it did.
   */
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

  /** Ends a request that {@link #tryAcquire} counted. */
  public void release() {
    inFlight.decrementAndGet();
  }

  /** Returns the number of requests that this instance has in flight in the pool. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Counts a request that got a server of this pool. */
  public void addChosen() {
    chosen.incrementAndGet();
  }

  /** Returns the number of requests that got a server since the last call, and resets it. */
  public int takeChosen() {
    return chosen.getAndSet(0);
  }

  /** Counts a request that got no server because the pool or its link budget was full. */
  public void addNoRoom() {
    noRoom.incrementAndGet();
  }

  /** Returns the number of requests that got no server since the last call, and resets it. */
  public int takeNoRoom() {
    return noRoom.getAndSet(0);
  }
}
