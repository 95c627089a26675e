package org.bambooarch.bench.load;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Sends a fixed number of requests and records their latencies. Each of the virtual threads sends
 * the next request when its last one was answered, so that at most their number is in flight.
 */
final class ClosedLoopLoadGenerator {

  private static final long NANOS_PER_MICRO = 1_000L;
  private static final long MAX_LATENCY_MICROS = 60_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final WebClient client;
  private final RequestHeaders headers;
  private final int inFlight;
  private final int requests;
  private final AtomicInteger started = new AtomicInteger();
  private final AtomicLong failed = new AtomicLong();
  private final ConcurrentHistogram latencyMicros =
      new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

  ClosedLoopLoadGenerator(WebClient client, RequestHeaders headers, int inFlight, int requests) {
    this.client = client;
    this.headers = headers;
    this.inFlight = inFlight;
    this.requests = requests;
  }

  /**
   * The measurements of one run.
   *
   * @param requestsPerSecond all requests of the run, failed ones included, per second
   * @param p50Micros median latency in microseconds
   * @param p99Micros 99th percentile latency in microseconds
   * @param failed number of requests that were answered with another status than 200
   */
  record LoadResult(double requestsPerSecond, long p50Micros, long p99Micros, long failed) {}

  LoadResult run() throws InterruptedException {
    long startNanos = System.nanoTime();
    Thread[] callers = new Thread[inFlight];
    for (int i = 0; i < inFlight; i++) {
      callers[i] = Thread.ofVirtual().start(this::sendUntilDone);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
    return new LoadResult(
        requests / elapsedSeconds,
        latencyMicros.getValueAtPercentile(50),
        latencyMicros.getValueAtPercentile(99),
        failed.get());
  }

  private void sendUntilDone() {
    while (started.getAndIncrement() < requests) {
      long startNanos = System.nanoTime();
      AggregatedHttpResponse response = client.execute(headers).aggregate().join();
      latencyMicros.recordValue((System.nanoTime() - startNanos) / NANOS_PER_MICRO);
      if (response.status().code() != 200) {
        failed.incrementAndGet();
      }
    }
  }
}
