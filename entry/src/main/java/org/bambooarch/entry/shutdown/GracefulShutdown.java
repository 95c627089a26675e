package org.bambooarch.entry.shutdown;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.time.Clock;
import org.tinylog.Logger;

/**
 * Stops an instance without interrupting requests.
 *
 * <p>The steps are: announce that the instance leaves, go on serving until no client can hold an
 * unexpired look-up response that names this instance or half of the time is over, let running
 * requests and streams finish, then stop. {@link #stopNow()} ends the wait for look-up responses to
 * expire and skips the finishing of requests; a second signal calls it.
 *
 * <pre>{@code
 * GracefulShutdown shutdown = GracefulShutdown.of(steps, clock);
 * shutdown.run(clock.monotonicNanos() + boundNanos);
 * }</pre>
 */
public final class GracefulShutdown {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Steps steps;
  private final Clock clock;
  private final CountDownLatch immediateStop = new CountDownLatch(1);

  private GracefulShutdown(Steps steps, Clock clock) {
    this.steps = steps;
    this.clock = clock;
  }

  /** The steps of the shutdown, carried out by the instance. */
  public interface Steps {

    /** Starts to tell the platform and all peers that this instance leaves; does not wait. */
    void announceLeaving();

    /**
     * Returns for how many milliseconds from now clients may go on using look-up responses that
     * name this instance.
     */
    long lookupsValidMillis();

    /**
     * Refuses new requests and returns when all running ones have finished or the deadline has
     * passed.
     *
     * @param deadlineNanos monotonic time in nanoseconds at which the wait ends
     */
    void finishRequests(long deadlineNanos);

    /** Cancels requests that still run and stops the instance. */
    void stop();
  }

  /** Returns a shutdown that has not begun yet. */
  public static GracefulShutdown of(Steps steps, Clock clock) {
    return new GracefulShutdown(steps, clock);
  }

  /**
   * Runs all steps and returns when the instance has stopped.
   *
   * @param deadlineNanos monotonic time in nanoseconds at which all waiting ends and requests that
   *     still run are cancelled
   */
  public void run(long deadlineNanos) {
    Logger.info("event=leaving");
    steps.announceLeaving();
    awaitLookupsExpired(deadlineNanos);
    if (immediateStop.getCount() > 0) {
      steps.finishRequests(deadlineNanos);
    }
    steps.stop();
    Logger.info("event=left");
  }

  /**
   * Ends the wait for look-up responses to expire and skips the finishing of requests; may be
   * called before {@link #run}. Safe on any thread.
   */
  public void stopNow() {
    immediateStop.countDown();
  }

  /**
   * Returns until when new requests are accepted, as monotonic time in nanoseconds: until look-up
   * responses have expired, but at least half of the time until the deadline is left for requests
   * to finish.
   */
  static long acceptUntilNanos(long nowNanos, long lookupsValidMillis, long deadlineNanos) {
    long halfNanos = Math.max(0, deadlineNanos - nowNanos) / 2;
    return nowNanos + Math.min(lookupsValidMillis * NANOS_PER_MILLI, halfNanos);
  }

  private void awaitLookupsExpired(long deadlineNanos) {
    long nowNanos = clock.monotonicNanos();
    long untilNanos = acceptUntilNanos(nowNanos, steps.lookupsValidMillis(), deadlineNanos);
    try {
      boolean stopRequested = immediateStop.await(untilNanos - nowNanos, TimeUnit.NANOSECONDS);
      if (stopRequested) {
        Logger.warn("event=shutdown-hurried reason=\"second signal\"");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      immediateStop.countDown();
    }
  }
}
