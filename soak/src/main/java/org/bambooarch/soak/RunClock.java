package org.bambooarch.soak;

import java.util.concurrent.TimeUnit;

/** Start and end of a run on the steady clock. The run starts once all processes are ready. */
final class RunClock {

  private final long lengthNanos;
  private volatile long startNanos;
  private volatile boolean started;

  RunClock(long lengthSeconds) {
    lengthNanos = TimeUnit.SECONDS.toNanos(lengthSeconds);
  }

  void start() {
    startNanos = System.nanoTime();
    started = true;
  }

  boolean isOver() {
    return started && System.nanoTime() - startNanos >= lengthNanos;
  }

  /** Returns the elapsed share of the run, between 0 and 1; 0 before its start. */
  double progress() {
    if (!started) {
      return 0;
    }
    return Math.clamp((double) (System.nanoTime() - startNanos) / lengthNanos, 0.0, 1.0);
  }

  /** Returns a moment as milliseconds after the start, or -1 for a moment that never came. */
  double millis(long atNanos) {
    return atNanos == 0 ? -1 : (atNanos - startNanos) / 1e6;
  }
}
