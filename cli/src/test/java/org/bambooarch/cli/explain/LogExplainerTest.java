package org.bambooarch.cli.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class LogExplainerTest {

  private static final String FOLDER = "src/test/resources/explain/";
  private static final List<String> LOGS = List.of(FOLDER + "entry-1.log", FOLDER + "entry-2.log");

  private static List<String> explain(LogQuery query) throws IOException {
    return LogExplainer.read(LOGS, System.in).explain(query);
  }

  private static List<String> positions(List<String> answer) {
    return answer.stream()
        .filter(line -> line.matches("[ ~] entry-\\d:\\d+ .*"))
        .map(line -> line.split(" time=")[0])
        .toList();
  }

  @Test
  void should_show_earlier_state_changes_when_an_instance_refused_a_request() throws IOException {
    List<String> answer = explain(new LogQuery.ByRequest("r-over"));

    assertThat(positions(answer))
        .containsExactly("  entry-1:2", "  entry-1:3", "  entry-1:5", "  entry-1:6");
    assertThat(answer.getLast())
        .isEqualTo(
            "cause: customer tika: 40 requests admitted in the window (limit 175),"
                + " 0.70 tokens left at this instance, whose share is 3.13 requests/s");
  }

  @Test
  void should_name_the_server_that_may_have_run_a_request_when_its_connection_was_lost()
      throws IOException {
    List<String> answer = explain(new LogQuery.ByRequest("r-lost"));

    assertThat(positions(answer))
        .containsExactly(
            "  entry-1:2",
            "  entry-1:3",
            "  entry-1:4",
            "  entry-1:5",
            "  entry-1:7",
            "  entry-1:8");
    assertThat(answer.getLast())
        .startsWith("cause: the connection to server i-878e ended (the server closed the");
  }

  @Test
  void should_show_suppressed_lines_when_no_line_is_about_a_request() throws IOException {
    List<String> answer = explain(new LogQuery.ByRequest("r-unknown"));

    assertThat(positions(answer)).containsExactly("  entry-2:4");
    assertThat(answer.getLast()).startsWith("cause: unknown, no line was written");
  }

  private static List<String> explainLines(String id, String... lines) throws IOException {
    byte[] log = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
    return LogExplainer.read(List.of(LogExplainer.STANDARD_INPUT), new ByteArrayInputStream(log))
        .explain(new LogQuery.ByRequest(id));
  }

  // Guards against reporting an attempt outside the homes as one that failed.
  @Test
  void should_name_an_attempt_outside_the_homes_when_its_line_is_the_only_one() throws IOException {
    List<String> answer =
        explainLines(
            "r1",
            "event=outside-homes request=r1 route=reads service=shop customer=- server=i-a"
                + " server-region=north homes=south self-region=north config=7");

    assertThat(answer.getLast())
        .isEqualTo(
            "cause: not known yet, the last line is about an attempt outside its homes at server"
                + " i-a");
  }

  // Guards against taking the line of a late response for how the request ended.
  @Test
  void should_name_attempts_and_skipped_responses_when_a_request_was_sent_twice()
      throws IOException {
    List<String> answer =
        explainLines(
            "r1",
            "event=response-skipped request=r1 received=r0 status=500 reason=other-request"
                + " server=i-b connection=c7/1",
            "event=request-finished request=r1 attempts=i-a:failed:500:c12/3,i-b:answered:200:c7/1"
                + " skipped-responses=1 outcome=answered status=200 server=i-b took-millis=9",
            "event=response-skipped request=- received=r1 status=500 reason=second-response"
                + " server=i-b connection=c7/1");

    assertThat(answer).hasSize(4);
    assertThat(answer.getLast())
        .isEqualTo(
            "cause: none, server i-b answered (after 9 ms); the attempts in order were"
                + " i-a:failed:500:c12/3,i-b:answered:200:c7/1; server i-b sent a response (500) to"
                + " request r0 on connection c7/1 while it had request r1, which was skipped;"
                + " server i-b sent a response (500) to request r1 on connection c7/1 a second"
                + " time, which was skipped");
  }

  // Guards against leaving out the only line that names a request, as the received one.
  @Test
  void should_show_the_skipped_response_when_only_that_names_the_request() throws IOException {
    List<String> answer =
        explainLines(
            "r0",
            "event=response-skipped request=- received=r0 status=200 reason=no-request server=i-b"
                + " connection=c7/0");

    assertThat(answer.getFirst()).contains("received=r0");
    assertThat(answer.getLast())
        .startsWith("cause: unknown")
        .endsWith(
            "; server i-b sent a response (200) to request r0 on connection c7/0 when it had no"
                + " request, which was skipped");
  }

  @Test
  void should_keep_file_order_and_mark_lines_ordered_by_clocks_when_the_time_of_day_jumps()
      throws IOException {
    List<String> answer = explain(new LogQuery.ByServer("i-878e"));

    assertThat(positions(answer))
        .containsExactly(
            "  entry-1:4", "~ entry-2:3", "~ entry-1:7", "  entry-1:8", "  entry-1:10");
    assertThat(answer)
        .contains("lines marked ~: placed after the line above by the instances' clocks only")
        .endsWith("5 lines about the server, 1 of failed attempts");
  }

  @Test
  void should_name_the_instances_that_applied_a_version_when_asked_for_it() throws IOException {
    List<String> answer = explain(new LogQuery.ByVersion("4"));

    assertThat(positions(answer)).containsExactly("  entry-2:2", "~ entry-1:3");
    assertThat(answer.getLast()).startsWith("2 of 2 instances applied version 4");
  }

  @Test
  void should_read_the_standard_input_when_the_file_name_is_a_dash() throws IOException {
    var input =
        new ByteArrayInputStream(
            "time=bad event=configured version=9".getBytes(StandardCharsets.UTF_8));

    List<String> answer =
        LogExplainer.read(List.of(LogExplainer.STANDARD_INPUT), input)
            .explain(new LogQuery.ByVersion("9"));

    assertThat(answer.getFirst()).isEqualTo("  -:1 time=bad event=configured version=9");
  }

  @Test
  void should_count_unanswered_requests_by_cause_and_place_when_losses_are_summarized()
      throws IOException {
    String log =
        String.join(
            "\n",
            "time=2026-01-01T00:00:00Z event=started instance=e-1 data-centre=north-a",
            "time=2026-01-01T00:00:01.2Z event=request-finished service=shop outcome=no-room"
                + " region=west open=20 usable=20 cold=0 candidates=1",
            "time=2026-01-01T00:00:01.9Z event=request-finished service=shop outcome=no-room"
                + " region=west open=20 usable=2 cold=1 candidates=2",
            "time=2026-01-01T00:00:02Z event=request-refused outcome=over-rate",
            "time=2026-01-01T00:00:02Z event=request-finished service=shop outcome=answered",
            "time=2026-01-01T00:00:03Z event=lines-suppressed cause=no-room lines=7",
            "time=2026-01-01T00:00:03Z event=lines-suppressed cause=lost lines=many");

    List<String> lines =
        LogExplainer.read(
                List.of(LogExplainer.STANDARD_INPUT),
                new ByteArrayInputStream(log.getBytes(StandardCharsets.UTF_8)))
            .summarizeLosses();

    assertThat(lines)
        .containsExactly(
            "requests outcome service data-centre region usable candidates cold",
            "2 no-room shop north-a west 11.0 1.5 0.5",
            "1 over-rate - north-a - - - -",
            "0 lost (lines suppressed)",
            "7 no-room (lines suppressed)",
            "2026-01-01T00:00:01Z 2",
            "2026-01-01T00:00:02Z 1",
            "1 numbers are unreadable and count as 0");
  }
}
