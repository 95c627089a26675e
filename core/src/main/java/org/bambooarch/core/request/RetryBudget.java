package org.bambooarch.core.request;

/**
 * Limits the retries of one instance to a fraction of its requests.
 *
 * <p>Each first attempt earns {@link #RETRIES_PER_REQUEST} retries, up to {@link
 * #MAX_SAVED_RETRIES}, so that retries cannot multiply the load while a whole service fails. All
 * methods are thread-safe.
 */
public final class RetryBudget {

  /** Retries earned by each request: one retry per ten requests. */
  public static final double RETRIES_PER_REQUEST = 0.1;

  /** The most retries that can be saved up; also the number available at the start. */
  public static final double MAX_SAVED_RETRIES = 10;

  private double savedRetries = MAX_SAVED_RETRIES;

  /** Adds the retries earned by one request; called once per request, at its first attempt. */
  public synchronized void onRequest() {
    savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + RETRIES_PER_REQUEST);
  }

  /** Takes one retry; returns false, and takes nothing, when less than one is saved. */
  public synchronized boolean tryTake() {
    if (savedRetries < 1) {
      return false;
    }
    savedRetries -= 1;
    return true;
  }

  /** Returns the retries saved up now, between 0 and {@link #MAX_SAVED_RETRIES}. */
  public synchronized double savedRetries() {
    return savedRetries;
  }
}
