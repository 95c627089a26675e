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
 * Lines on their way to an output that may not read.
 *
 * <p>Whoever writes never waits: lines go into a bounded queue that a thread of its own empties,
 * and what finds the queue full is dropped. The next line that is written tells how many were lost.
 *
 * <p>Safe for use by several threads.
 */
public final class AsyncLineWriter implements AutoCloseable {

  /** Lines that may wait: a few seconds of the most that an instance writes. */
  static final int MAX_QUEUED_LINES = 512;

  /** Longest wait at the end for lines that are not written yet, in milliseconds. */
  private static final long CLOSE_TIMEOUT_MILLIS = 200;

  private static final long CLOSE_POLL_MILLIS = 5;

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

  /** Creates a queue of lines for a stream, and starts to write. */
  public AsyncLineWriter(PrintStream out) {
    this.out = out;
    this.writerThread = Thread.ofPlatform().daemon().name("log-lines").start(this::writeLines);
  }

  /** Returns the queue of lines for the standard output of this process. */
  public static AsyncLineWriter standardOutput() {
    return StandardOutput.WRITER;
  }

  /** Returns a stream whose lines go through the queue. */
  public PrintStream asPrintStream() {
    return new PrintStream(new LineStream(), true, StandardCharsets.UTF_8);
  }

  /** Writes a line, or drops it if the output does not keep up. */
  public void offer(String line) {
    pendingLines.incrementAndGet();
    if (!queue.offer(line)) {
      pendingLines.decrementAndGet();
      droppedLines.incrementAndGet();
    }
  }

  /** Returns how many lines were dropped because the queue was full. */
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

  /** Waits a moment for lines that are not written yet, and ends. */
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

  /** Cuts what is written into lines. */
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
