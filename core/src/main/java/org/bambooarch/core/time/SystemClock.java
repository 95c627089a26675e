package org.bambooarch.core.time;

/** The clock of the JVM: {@link System#nanoTime} and {@link System#currentTimeMillis}. */
public final class SystemClock implements Clock {

  private static final SystemClock INSTANCE = new SystemClock();

  private SystemClock() {}

  /** Returns the only instance. */
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
