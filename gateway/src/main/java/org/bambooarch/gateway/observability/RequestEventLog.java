package org.bambooarch.gateway.observability;

import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bambooarch.core.time.Clock;

/**
 * Log lines about single requests of one instance, sampled and rate-limited.
 *
 * <p>Answered requests are sampled. All other outcomes are written up to a rate limit; lines beyond
 * it are counted, and once a second one line for each cause states how many were suppressed.
 *
 * <p>Not thread-safe.
 */
public final class RequestEventLog {

  /** Lines per second about requests that were not answered; these suffice to find any cause. */
  static final int MAX_LINES_PER_SECOND = 20;

  /** Lines per second of each cause that has a limit of its own. */
  static final int MAX_LINES_OF_CAUSE_PER_SECOND = 10;

  /** One in this many answered requests is logged. */
  private static final int ANSWERED_SAMPLE_INTERVAL = 64;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final AsyncLineWriter writer;
  private final String instance;
  private final Clock clock;
  private final Map<String, Integer> suppressedByCause = new LinkedHashMap<>();
  private final Map<String, Integer> linesByCause = new HashMap<>();
  private long secondStartNanos;
  private int linesInSecond;
  private long answeredRequests;

  /**
   * Creates the log of an instance.
   *
   * @param writer output of the lines
   * @param instance name of the instance, which each line states
   * @param clock source of the lines' time stamps, and of the time that the rate limit is based on
   */
  public RequestEventLog(AsyncLineWriter writer, String instance, Clock clock) {
    this.writer = writer;
    this.instance = instance;
    this.clock = clock;
    this.secondStartNanos = clock.monotonicNanos();
  }

  /** Counts an answered request, and returns whether it is to be logged. */
  public boolean shouldSampleAnswered() {
    return answeredRequests++ % ANSWERED_SAMPLE_INTERVAL == 0;
  }

  /**
   * Returns whether the rate limit permits another line in this second; if not, counts the line as
   * suppressed.
   *
   * @param cause label under which suppressed lines are counted
   */
  public boolean tryAcquireLine(String cause) {
    tick();
    if (linesInSecond >= MAX_LINES_PER_SECOND) {
      suppressedByCause.merge(cause, 1, Integer::sum);
      return false;
    }
    linesInSecond++;
    return true;
  }

  /**
   * Returns whether the limit of a cause permits another line in this second; if not, counts the
   * line as suppressed. Lines of other causes do not count towards it.
   *
   * @param cause label of the limit, one of few
   */
  public boolean tryAcquireLineOfCause(String cause) {
    tick();
    if (linesByCause.getOrDefault(cause, 0) >= MAX_LINES_OF_CAUSE_PER_SECOND) {
      suppressedByCause.merge(cause, 1, Integer::sum);
      return false;
    }
    linesByCause.merge(cause, 1, Integer::sum);
    return true;
  }

  /** If the current second is over, logs how many lines it suppressed and starts the next one. */
  public void tick() {
    long nowNanos = clock.monotonicNanos();
    if (nowNanos - secondStartNanos < NANOS_PER_SECOND) {
      return;
    }
    secondStartNanos = nowNanos;
    linesInSecond = 0;
    linesByCause.clear();
    suppressedByCause.forEach(
        (cause, count) -> write("event=lines-suppressed cause=" + cause + " lines=" + count));
    suppressedByCause.clear();
  }

  /** Writes a line, prefixed with the time, the level and the name of the instance. */
  public void write(String line) {
    Instant now = Instant.ofEpochMilli(clock.wallMillis());
    writer.offer("time=" + now + " level=INFO instance=" + instance + " " + line);
  }
}
