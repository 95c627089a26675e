package org.bambooarch.entry.shutdown;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.time.Clock;
import org.tinylog.Logger;

/**
 * Stops an instance without cutting a request.
 *
 * <p>The steps: announce leaving, go on serving until no client can hold a look-up answer that
 * names this instance, then let the server finish requests and streams, then stop. {@link
 * #stopNow()} skips the waiting; it is what a second signal does.
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

  /** What the instance does at each step. */
  public interface Steps {

    /** Tells the platform and all peers that this instance leaves, without waiting for them. */
    void announceLeaving();

    /** Returns how long clients may go on using look-up answers that name this instance. */
    long lookupsValidMillis();

    /**
     * Takes no new request, finishes the running ones, and returns when done or at the deadline.
     *
     * @param deadlineNanos monotonic time at which running requests are ended
     */
    void finishRequests(long deadlineNanos);

    /** Ends everything that still runs. */
    void stop();
  }

  /** Returns a shutdown over an instance's steps. */
  public static GracefulShutdown of(Steps steps, Clock clock) {
    return new GracefulShutdown(steps, clock);
  }

  /**
   * Runs all steps and returns when the instance has stopped.
   *
   * @param deadlineNanos monotonic time at which whatever still runs is ended
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

  /** Ends the waiting at once. */
  public void stopNow() {
    immediateStop.countDown();
  }

  private void awaitLookupsExpired(long deadlineNanos) {
    long nowNanos = clock.monotonicNanos();
    long expiredNanos = nowNanos + steps.lookupsValidMillis() * NANOS_PER_MILLI;
    long untilNanos = expiredNanos - deadlineNanos < 0 ? expiredNanos : deadlineNanos;
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
