package org.bambooarch.core.routing.internal;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counters of one server. Request threads write them, and the control thread reads and resets them.
 */
public final class ServerCounters {

  /** Pause after the first shed request; doubles with each further shed in a row. */
  private static final long FIRST_SHED_PAUSE_NANOS = 4_000_000L;

  private static final int MAX_SHED_PAUSE_DOUBLINGS = 2;

  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger consecutiveFailures = new AtomicInteger();
  private final AtomicInteger sheds = new AtomicInteger();
  private final AtomicInteger consecutiveSheds = new AtomicInteger();
  private final AtomicInteger limitHits = new AtomicInteger();
  private final AtomicLong latencySumNanos = new AtomicLong();
  private volatile boolean paused;
  private volatile long pausedUntilNanos;

  /**
   * Takes one slot if fewer than {@code limit} are taken, and returns whether it did. Counts a
   * limit hit when the last slot is taken.
   */
  public boolean tryAcquire(int limit) {
    while (true) {
      int current = inFlight.get();
      if (current >= limit) {
        return false;
      }
      if (inFlight.compareAndSet(current, current + 1)) {
        if (current + 1 == limit) {
          limitHits.incrementAndGet();
        }
        return true;
      }
    }
  }

  /** Returns the number of requests that this instance has in flight at the server. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns whether the server gets no requests for now because it shed load shortly before. */
  public boolean isPaused(long nowNanos) {
    if (!paused) {
      return false;
    }
    if (nowNanos - pausedUntilNanos < 0) {
      return true;
    }
    paused = false;
    return false;
  }

  /** Ends a request whose response was received completely. */
  public void answered(long latencyNanos) {
    latencySumNanos.addAndGet(latencyNanos);
    answered.incrementAndGet();
    if (consecutiveFailures.get() != 0) {
      consecutiveFailures.set(0);
    }
    if (consecutiveSheds.get() != 0) {
      consecutiveSheds.set(0);
    }
    inFlight.decrementAndGet();
  }

  /** Ends a request that failed at the server. */
  public void failed() {
    failed.incrementAndGet();
    consecutiveFailures.incrementAndGet();
    inFlight.decrementAndGet();
  }

  /**
   * Ends a request that the server refused to run because it is overloaded, and pauses the server
   * for 4 to 16 ms. A shed during a pause does not prolong it.
   */
  public void shed(long nowNanos) {
    sheds.incrementAndGet();
    inFlight.decrementAndGet();
    if (isPaused(nowNanos)) {
      return;
    }
    int doublings = Math.min(MAX_SHED_PAUSE_DOUBLINGS, consecutiveSheds.getAndIncrement());
    pausedUntilNanos = nowNanos + (FIRST_SHED_PAUSE_NANOS << doublings);
    paused = true;
  }

  /**
   * Ends a request whose end says nothing about the server's health, such as one that its caller
   * cancelled.
   */
  public void cancelled() {
    inFlight.decrementAndGet();
  }

  /** Returns the number of failures since the last complete response. */
  public int consecutiveFailures() {
    return consecutiveFailures.get();
  }

  /** Resets the consecutive failures, for a server that returns from an ejection. */
  public void clearConsecutiveFailures() {
    consecutiveFailures.set(0);
  }

  /** Returns the number of complete responses since the last call, and resets it. */
  public int takeAnswered() {
    return answered.getAndSet(0);
  }

  /** Returns the number of failures since the last call, and resets it. */
  public int takeFailed() {
    return failed.getAndSet(0);
  }

  /** Returns the number of shed requests since the last call, and resets it. */
  public int takeSheds() {
    return sheds.getAndSet(0);
  }

  /** Returns how often the limit was reached since the last call, and resets the count. */
  public int takeLimitHits() {
    return limitHits.getAndSet(0);
  }

  /** Returns the sum of latencies since the last call in nanoseconds, and resets it. */
  public long takeLatencySumNanos() {
    return latencySumNanos.getAndSet(0);
  }
}
