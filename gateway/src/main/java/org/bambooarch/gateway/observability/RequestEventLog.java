package org.bambooarch.gateway.observability;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bambooarch.core.time.Clock;

/**
 * The lines about single requests of one instance.
 *
 * <p>Answers are sampled. All other outcomes are written up to a rate; beyond it they are counted,
 * and one line a second and cause tells how many there were.
 *
 * <p>Not thread-safe.
 */
public final class RequestEventLog {

  /** Lines a second about requests that were not answered: enough to find any cause. */
  static final int MAX_LINES_PER_SECOND = 20;

  /** One of this many answered requests is written. */
  private static final int ANSWERED_SAMPLE_INTERVAL = 64;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final AsyncLineWriter writer;
  private final String instance;
  private final Clock clock;
  private final Map<String, Integer> suppressedByCause = new LinkedHashMap<>();
  private long secondStartNanos;
  private int linesInSecond;
  private long answeredRequests;

  /** Creates the log of an instance. */
  public RequestEventLog(AsyncLineWriter writer, String instance, Clock clock) {
    this.writer = writer;
    this.instance = instance;
    this.clock = clock;
    this.secondStartNanos = clock.monotonicNanos();
  }

  /** Returns whether the next answered request is to be written. */
  public boolean shouldSampleAnswered() {
    return answeredRequests++ % ANSWERED_SAMPLE_INTERVAL == 0;
  }

  /** Returns whether another line about a cause fits into this second; counts it otherwise. */
  public boolean tryAcquireLine(String cause) {
    tick();
    if (linesInSecond >= MAX_LINES_PER_SECOND) {
      suppressedByCause.merge(cause, 1, Integer::sum);
      return false;
    }
    linesInSecond++;
    return true;
  }

  /** Tells what was not written in the last second, if it is over. */
  public void tick() {
    long nowNanos = clock.monotonicNanos();
    if (nowNanos - secondStartNanos < NANOS_PER_SECOND) {
      return;
    }
    secondStartNanos = nowNanos;
    linesInSecond = 0;
    suppressedByCause.forEach(
        (cause, count) -> write("event=lines-suppressed cause=" + cause + " lines=" + count));
    suppressedByCause.clear();
  }

  /** Writes a line with the time and the name of the instance before it. */
  public void write(String line) {
    Instant now = Instant.ofEpochMilli(clock.wallMillis());
    writer.offer("time=" + now + " level=INFO instance=" + instance + " " + line);
  }
}
