package org.bambooarch.gateway.observability;

import java.io.ByteArrayOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines to an output without blocking the threads that log, even if nobody reads the output.
 *
 * <p>Lines go into a bounded queue that a thread of its own writes out. Lines that arrive while the
 * queue is full are dropped; before the next line that is written, a line states how many were
 * dropped.
 *
 * <p>Thread-safe.
 */
public final class AsyncLineWriter implements AutoCloseable {

  /** Capacity of the queue: a few seconds of lines at the highest rate of an instance. */
  static final int MAX_QUEUED_LINES = 512;

  /** Longest time for which {@link #close()} waits for queued lines to be written. */
  private static final long CLOSE_TIMEOUT_MILLIS = 200;

  private static final long CLOSE_POLL_MILLIS = 5;

  /** Creates the shared writer when it is first used. */
  private static final class StandardOutput {
    private static final AsyncLineWriter WRITER =
        new AsyncLineWriter(new PrintStream(new FileOutputStream(FileDescriptor.out)));
  }

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong droppedLines = new AtomicLong();
  private final AtomicLong pendingLines = new AtomicLong();
  private final PrintStream out;
  private final Thread writerThread;
  private long reportedDroppedLines;

  /** Creates a writer for a stream, and starts its daemon thread. */
  public AsyncLineWriter(PrintStream out) {
    this.out = out;
    this.writerThread = Thread.ofPlatform().daemon().name("log-lines").start(this::writeLines);
  }

  /** Returns the shared writer for the standard output of this process. */
  public static AsyncLineWriter standardOutput() {
    return StandardOutput.WRITER;
  }

  /** Returns a stream that queues each complete line that is printed to it. */
  public PrintStream asPrintStream() {
    return new PrintStream(new LineStream(), true, StandardCharsets.UTF_8);
  }

  /** Queues a line, or drops it if the queue is full. Never blocks. */
  public void offer(String line) {
    pendingLines.incrementAndGet();
    if (!queue.offer(line)) {
      pendingLines.decrementAndGet();
      droppedLines.incrementAndGet();
    }
  }

  /** Returns how many lines were dropped since the start because the queue was full. */
  public long droppedLineCount() {
    return droppedLines.get();
  }

  private void writeLines() {
    try {
      while (true) {
        String line = queue.take();
        reportDroppedLines();
        out.println(line);
        pendingLines.decrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void reportDroppedLines() {
    long totalDroppedLines = droppedLines.get();
    if (totalDroppedLines > reportedDroppedLines) {
      out.println("event=lines-dropped lines=" + (totalDroppedLines - reportedDroppedLines));
      reportedDroppedLines = totalDroppedLines;
    }
  }

  /** Waits up to 200 ms for queued lines to be written, and then stops the thread. */
  @Override
  public void close() {
    try {
      for (long waitedMillis = 0;
          waitedMillis < CLOSE_TIMEOUT_MILLIS;
          waitedMillis += CLOSE_POLL_MILLIS) {
        if (pendingLines.get() == 0) {
          break;
        }
        TimeUnit.MILLISECONDS.sleep(CLOSE_POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    writerThread.interrupt();
  }

  /** Splits the bytes written to it into lines, which it queues without their line feed. */
  private final class LineStream extends OutputStream {

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    @Override
    public synchronized void write(int octet) {
      if (octet != '\n') {
        line.write(octet);
        return;
      }
      offer(line.toString(StandardCharsets.UTF_8));
      line.reset();
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int length) {
      for (int i = offset; i < offset + length; i++) {
        write(bytes[i]);
      }
    }
  }
}
