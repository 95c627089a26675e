package org.bambooarch.bench.jmh;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.observability.AsyncLineWriter;
import org.bambooarch.gateway.observability.RequestEventLog;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Time that a log line about a refused request takes on the thread that serves requests. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class RequestEventLogBenchmark {

  private static final long SECOND_MILLIS = 1_000;

  private final ManualClock clock = ManualClock.startingAtZero();
  private RequestEventLog drainedLog;
  private RequestEventLog blockedLog;

  /** An output that nobody reads: every write blocks until it is interrupted. */
  private static final class BlockedOutput extends OutputStream {

    private final CountDownLatch neverReleased = new CountDownLatch(1);

    @Override
    public void write(int octet) throws IOException {
      try {
        neverReleased.await();
      } catch (InterruptedException e) {
        throw new IOException("interrupted", e);
      }
    }
  }

  /** Creates a log whose output is discarded at once and one whose output blocks. */
  @Setup
  public void createLogs() {
    AsyncLineWriter drainedLines =
        new AsyncLineWriter(new PrintStream(OutputStream.nullOutputStream()));
    AsyncLineWriter blockedLines = new AsyncLineWriter(new PrintStream(new BlockedOutput()));
    drainedLog = new RequestEventLog(drainedLines, "entry-1", clock);
    blockedLog = new RequestEventLog(blockedLines, "entry-1", clock);
  }

  /** Writes a line for every refusal; the clock moves a second each time, so the rate allows it. */
  @Benchmark
  public void writeEach() {
    clock.advanceMillis(SECOND_MILLIS);
    logRefusal(drainedLog);
  }

  /** Logs all refusals in the same second, so that the rate limit suppresses nearly all lines. */
  @Benchmark
  public void suppressNearlyAll() {
    logRefusal(drainedLog);
  }

  /** Like {@link #writeEach}, but the output blocks, so that lines are dropped. */
  @Benchmark
  public void writeEachToBlockedOutput() {
    clock.advanceMillis(SECOND_MILLIS);
    logRefusal(blockedLog);
  }

  private static void logRefusal(RequestEventLog log) {
    if (log.tryAcquireLine("no-room")) {
      log.write(
          "event=request-finished request=%s route=%s outcome=no-room status=503 took-millis=%d"
              .formatted("36a430ed04f5a266", "r-kenrn65", 3));
    }
  }
}
