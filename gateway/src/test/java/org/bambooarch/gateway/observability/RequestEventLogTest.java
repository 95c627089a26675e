package org.bambooarch.gateway.observability;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 20, unit = TimeUnit.SECONDS)
class RequestEventLogTest {

  private final ManualClock clock = ManualClock.startingAtZero();

  /** An output whose writes block until {@link #resumed} is counted down. */
  private static final class BlockedOutput extends OutputStream {

    private final CountDownLatch blocked = new CountDownLatch(1);
    private final CountDownLatch resumed = new CountDownLatch(1);
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();

    @Override
    public void write(int octet) throws IOException {
      blocked.countDown();
      try {
        resumed.await();
      } catch (InterruptedException e) {
        throw new IOException("interrupted", e);
      }
      text.write(octet);
    }
  }

  /** Waits until the output contains a text, and returns all of the output. */
  private static String awaitTextContaining(String last, ByteArrayOutputStream output) {
    while (true) {
      String text = output.toString(StandardCharsets.UTF_8);
      if (text.contains(last)) {
        return text;
      }
      Thread.onSpinWait();
    }
  }

  /** Waits until all lines that were queued before are written, and returns the output. */
  private static String awaitAllLines(ByteArrayOutputStream output, AsyncLineWriter writer) {
    writer.offer("last line");
    return awaitTextContaining("last line", output);
  }

  @Test
  void should_drop_lines_and_never_block_when_nobody_reads_the_output() throws Exception {
    BlockedOutput output = new BlockedOutput();
    AsyncLineWriter writer = new AsyncLineWriter(new PrintStream(output));
    writer.offer("first");
    output.blocked.await();

    for (int i = 0; i < 2 * AsyncLineWriter.MAX_QUEUED_LINES; i++) {
      writer.offer("line " + i);
    }

    assertThat(writer.droppedLineCount()).isEqualTo(AsyncLineWriter.MAX_QUEUED_LINES);
    output.resumed.countDown();
    assertThat(awaitTextContaining("line 0", output.text))
        .contains("event=lines-dropped lines=512");
  }

  @Test
  void should_limit_lines_per_second_and_count_the_suppressed_by_cause_when_all_are_refused() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    AsyncLineWriter writer = new AsyncLineWriter(new PrintStream(output));
    RequestEventLog log = new RequestEventLog(writer, "entry-1", clock);
    for (int i = 0; i < 300; i++) {
      String cause = i % 3 == 0 ? "over-rate" : "no-room";
      if (log.tryAcquireLine(cause)) {
        log.write("event=request-refused outcome=" + cause);
      }
    }
    clock.advanceMillis(1_000);
    log.tick();

    String text = awaitAllLines(output, writer);
    assertThat(text.lines().filter(line -> line.contains("request-refused")))
        .hasSize(RequestEventLog.MAX_LINES_PER_SECOND);
    assertThat(text)
        .contains("event=lines-suppressed cause=over-rate lines=93")
        .contains("event=lines-suppressed cause=no-room lines=187");
  }

  @Test
  void should_begin_each_line_with_the_time_and_the_instance_when_it_is_written() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    AsyncLineWriter writer = new AsyncLineWriter(new PrintStream(output));
    clock.advanceMillis(1_500);

    new RequestEventLog(writer, "entry-1", clock).write("event=x");

    assertThat(awaitAllLines(output, writer))
        .startsWith("time=1970-01-01T00:00:01.500Z level=INFO instance=entry-1 event=x");
  }

  // Regression: requests answered after a failed attempt left no line in most cases.
  @Test
  void should_limit_the_lines_of_a_cause_on_their_own_when_other_lines_have_used_up_the_limit() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    AsyncLineWriter writer = new AsyncLineWriter(new PrintStream(output));
    RequestEventLog log = new RequestEventLog(writer, "entry-1", clock);
    for (int i = 0; i < RequestEventLog.MAX_LINES_PER_SECOND; i++) {
      assertThat(log.tryAcquireLine("no-room")).isTrue();
    }

    for (int i = 0; i < RequestEventLog.MAX_LINES_OF_CAUSE_PER_SECOND; i++) {
      assertThat(log.tryAcquireLineOfCause("answered-after-retry")).isTrue();
    }
    assertThat(log.tryAcquireLineOfCause("answered-after-retry")).isFalse();
    assertThat(log.tryAcquireLineOfCause("response-skipped")).isTrue();
    clock.advanceMillis(1_000);

    assertThat(log.tryAcquireLineOfCause("answered-after-retry")).isTrue();
    assertThat(awaitAllLines(output, writer))
        .contains("event=lines-suppressed cause=answered-after-retry lines=1");
  }

  @Test
  void should_write_each_line_on_its_own_when_text_is_printed_to_the_stream() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    AsyncLineWriter writer = new AsyncLineWriter(new PrintStream(output));

    PrintStream printStream = writer.asPrintStream();
    printStream.print("a=1\nb=");
    printStream.printf("2%n");

    assertThat(awaitAllLines(output, writer).lines()).startsWith("a=1", "b=2");
  }
}
