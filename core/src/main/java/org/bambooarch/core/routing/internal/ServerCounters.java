package org.bambooarch.core.routing.internal;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counters of one server, written by traffic threads and collected by the control thread. */
public final class ServerCounters {

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

  /** Takes one slot if fewer than the limit are taken. */
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

  /** Returns the requests of this instance in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns whether the server shed load a moment ago. */
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

  /** Ends a request that got its whole answer. */
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

  /** Ends a request that the server failed. */
  public void failed() {
    failed.incrementAndGet();
    consecutiveFailures.incrementAndGet();
    inFlight.decrementAndGet();
  }

  /** Ends a request that the server refused to run; the server is left alone for a moment. */
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

  /** Ends a request that says nothing about the server, such as one that its caller cancelled. */
  public void cancelled() {
    inFlight.decrementAndGet();
  }

  /** Returns the failures since the last answer. */
  public int consecutiveFailures() {
    return consecutiveFailures.get();
  }

  /** Clears the failures in a row, when a server returns from ejection. */
  public void clearConsecutiveFailures() {
    consecutiveFailures.set(0);
  }

  /** Returns and clears the answers since the last call. */
  public int takeAnswered() {
    return answered.getAndSet(0);
  }

  /** Returns and clears the failures since the last call. */
  public int takeFailed() {
    return failed.getAndSet(0);
  }

  /** Returns and clears the sheds since the last call. */
  public int takeSheds() {
    return sheds.getAndSet(0);
  }

  /** Returns and clears how often the limit was reached since the last call. */
  public int takeLimitHits() {
    return limitHits.getAndSet(0);
  }

  /** Returns and clears the sum of latencies since the last call, in nanoseconds. */
  public long takeLatencySumNanos() {
    return latencySumNanos.getAndSet(0);
  }
}
