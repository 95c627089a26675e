package org.bambooarch.core.request;

/**
 * Bounds the retries of one instance to a share of its requests.
 *
 * <p>Each first send earns a fraction of a retry, up to a cap, so that retries cannot multiply the
 * load while a whole service fails. All methods are thread-safe.
 */
public final class RetryBudget {

  /** Retries earned by one request: one retry for each ten requests. */
  public static final double RETRIES_PER_REQUEST = 0.1;

  /** The most retries that can be saved up. */
  public static final double MAX_SAVED_RETRIES = 10;

  private double savedRetries = MAX_SAVED_RETRIES;

  /** Counts a first send. */
  public synchronized void onRequest() {
    savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + RETRIES_PER_REQUEST);
  }

  /** Takes one retry; returns false when none is left. */
  public synchronized boolean tryTake() {
    if (savedRetries < 1) {
      return false;
    }
    savedRetries -= 1;
    return true;
  }

  /** Returns the retries saved up now. */
  public synchronized double savedRetries() {
    return savedRetries;
  }
}
