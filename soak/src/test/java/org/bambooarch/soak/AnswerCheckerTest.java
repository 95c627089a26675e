package org.bambooarch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.bambooarch.soak.AnswerChecker.Promise;
import org.bambooarch.soak.AnswerChecker.Violation;
import org.junit.jupiter.api.Test;

class AnswerCheckerTest {

  private static final String HASH = "h";
  private static final int LENGTH_BYTES = 10;

  private final Journal journal = new Journal();
  private int seals;
  private int attempt = 1;

  @Test
  void should_accept_the_answer_of_the_successful_run_when_an_earlier_run_failed() {
    run("a", 500, Fault.NONE, true);
    ServerRun second = run("a", 200, Fault.NONE, true);
    answer("a", 200, "a", second.answer().seal(), LENGTH_BYTES, true);

    assertThat(new AnswerChecker(journal).check()).isEmpty();
    assertThat(RequestIdCounts.of(journal, true)).isEqualTo(new RequestIdCounts(0, 1, 0));
  }

  @Test
  void should_count_a_correct_answer_by_id_when_the_second_answer_was_a_failure() {
    ServerRun run = run("a", 200, Fault.SECOND_BEFORE_NEXT_OTHER_STATUS, true);
    run.secondWrittenNanos().set(run.writtenNanos().get() + 5);
    answer("a", 200, "a", run.answer().seal(), LENGTH_BYTES, true);

    assertThat(new AnswerChecker(journal).check()).isEmpty();
    assertThat(RequestIdCounts.of(journal, true)).isEqualTo(new RequestIdCounts(0, 0, 1));
  }

  @Test
  void should_report_a_second_answer_that_reached_the_client() {
    ServerRun run = run("a", 500, Fault.SECOND_AT_ONCE_OTHER_STATUS, true);
    answer("a", 200, "a", run.second().seal(), LENGTH_BYTES, true);

    assertBroken(Promise.MIXED);
  }

  @Test
  void should_report_an_answer_when_it_has_the_id_of_another_request() {
    ServerRun run = run("a", 200, Fault.NONE, true);
    answer("b", 200, "a", run.answer().seal(), LENGTH_BYTES, true);

    assertBroken(Promise.MIXED);
  }

  @Test
  void should_report_a_seal_of_another_request_when_the_answer_has_no_id() {
    ServerRun run = run("a", 200, Fault.NONE, true);
    answer("b", 200, "", run.answer().seal(), LENGTH_BYTES, true);

    assertBroken(Promise.MIXED);
  }

  @Test
  void should_report_a_success_when_it_has_no_seal() {
    run("a", 200, Fault.NONE, true);
    answer("a", 200, "a", "", LENGTH_BYTES, true);

    assertBroken(Promise.MIXED);
  }

  @Test
  void should_report_a_status_when_the_sealed_run_had_another_one() {
    ServerRun run = run("a", 500, Fault.NONE, true);
    answer("a", 200, "a", run.answer().seal(), LENGTH_BYTES, true);

    assertBroken(Promise.MIXED);
  }

  @Test
  void should_report_a_complete_success_when_its_body_is_short() {
    ServerRun run = run("a", 200, Fault.TRUNCATED, true);
    answer("a", 200, "a", run.answer().seal(), LENGTH_BYTES - 1, true);

    assertBroken(Promise.MIXED);
  }

  @Test
  void should_report_bytes_when_no_request_waited() {
    ServerRun run = run("a", 200, Fault.NONE, true);
    journal.addUnasked(answer("a", 200, "a", run.answer().seal(), LENGTH_BYTES, true));

    assertBroken(Promise.MIXED);
  }

  @Test
  void should_report_an_unsafe_request_when_it_ran_twice() {
    run("a", 500, Fault.NONE, true);
    ServerRun second = run("a", 200, Fault.NONE, true);
    answer("a", 200, "a", second.answer().seal(), LENGTH_BYTES, false);

    assertBroken(Promise.TWICE);
  }

  @Test
  void should_accept_an_unsafe_request_when_a_server_refused_it_first() {
    run("a", 503, Fault.NONE, false);
    ServerRun second = run("a", 200, Fault.NONE, true);
    answer("a", 200, "a", second.answer().seal(), LENGTH_BYTES, false);

    assertThat(new AnswerChecker(journal).check()).isEmpty();
  }

  @Test
  void should_report_a_refusal_of_an_unsafe_request_when_a_run_began() {
    run("a", 200, Fault.LOST_WITH_RESET, true);
    answer("a", 503, "a", "", 0, false);

    assertBroken(Promise.REFUSED);
  }

  @Test
  void should_accept_a_refusal_when_the_next_attempt_with_the_same_id_ran() {
    answer("a", 503, "a", "", 0, false);
    attempt = 2;
    ServerRun run = run("a", 200, Fault.NONE, true);
    answer("a", 200, "a", run.answer().seal(), LENGTH_BYTES, false);

    assertThat(new AnswerChecker(journal).check()).isEmpty();
  }

  @Test
  void should_report_a_refusal_when_a_run_of_its_id_states_no_attempt() {
    attempt = 0;
    run("a", 200, Fault.NONE, true);
    attempt = 1;
    answer("a", 503, "a", "", 0, false);

    assertBroken(Promise.REFUSED);
  }

  private void assertBroken(Promise promise) {
    assertThat(new AnswerChecker(journal).check())
        .extracting(Violation::promise)
        .containsExactly(promise);
  }

  private ServerRun run(String id, int status, Fault fault, boolean executed) {
    seals++;
    ServerRun run =
        new ServerRun(
            id,
            attempt,
            "i-1",
            1,
            seals,
            executed,
            "catalogue",
            "north",
            "order-catalogue",
            "plain",
            0,
            false,
            new ServerRun.Answer(status, "s" + seals, LENGTH_BYTES, HASH),
            new ServerRun.Answer(status == 200 ? 500 : 200, "t" + seals, LENGTH_BYTES, HASH),
            fault,
            seals * 10L,
            new AtomicLong(seals * 10L + 1),
            new AtomicLong());
    journal.add(run);
    return run;
  }

  private ClientAnswer answer(
      String id, int status, String answeredId, String seal, int lengthBytes, boolean repeatable) {
    ClientAnswer answer =
        new ClientAnswer(
            id,
            1,
            "front",
            1,
            1,
            repeatable,
            status,
            answeredId,
            seal,
            lengthBytes,
            HASH,
            true,
            "",
            1,
            2);
    journal.add(answer);
    return answer;
  }
}
