package org.bambooarch.core.time;

/** The clock of the running machine. */
public final class SystemClock implements Clock {

  private static final SystemClock INSTANCE = new SystemClock();

  private SystemClock() {}

  /** Returns the clock of the running machine. */
  public static SystemClock systemClock() {
    return INSTANCE;
  }

  @Override
  public long monotonicNanos() {
    return System.nanoTime();
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }
}
