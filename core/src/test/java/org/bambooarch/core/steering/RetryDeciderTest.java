package org.bambooarch.core.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bambooarch.core.steering.RetryDecider.AttemptResult;
import org.bambooarch.core.steering.RetryDecider.Step;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.WeightedService;
import org.bambooarch.core.steering.fleet.ServiceRetryBudgets;
import org.junit.jupiter.api.Test;

class RetryDeciderTest {

  private final ServiceRetryBudgets retryBudgets = new ServiceRetryBudgets(1, 100);

  private RetryDecider decider(boolean idempotent, int maxServers) {
    for (int i = 0; i < 50; i++) {
      retryBudgets.onFirstSend("shop");
    }
    return new RetryDecider(route(idempotent, maxServers), "shop", retryBudgets);
  }

  private static ServiceRoute route(boolean idempotent, int maxServers) {
    return new ServiceRoute(
        "r",
        "h",
        "/p/",
        idempotent,
        1_000,
        500,
        maxServers,
        0,
        true,
        false,
        HomeRegions.ALL,
        List.of(new WeightedService("shop", 1)));
  }

  private static Step endAttempt(RetryDecider decider, AttemptResult result) {
    decider.onChosen("server");
    if (result != AttemptResult.NOT_SENT) {
      decider.onSending();
    }
    return decider.onAttemptEnded(result, true, true);
  }

  @Test
  void should_not_retry_a_non_idempotent_request_when_its_response_was_lost() {
    assertThat(endAttempt(decider(false, 3), AttemptResult.LOST)).isEqualTo(Step.OUTCOME_UNKNOWN);
  }

  @Test
  void should_not_retry_a_non_idempotent_request_when_its_server_failed_it() {
    assertThat(endAttempt(decider(false, 3), AttemptResult.FAILED)).isEqualTo(Step.PASS_FAILURE_ON);
  }

  @Test
  void should_retry_a_non_idempotent_request_when_the_server_reported_that_it_did_not_run() {
    assertThat(endAttempt(decider(false, 1), AttemptResult.NOT_RUN)).isEqualTo(Step.SEND_ELSEWHERE);
  }

  @Test
  void should_retry_an_idempotent_request_on_at_most_max_servers_when_responses_are_lost() {
    RetryDecider decider = decider(true, 2);
    assertThat(endAttempt(decider, AttemptResult.LOST)).isEqualTo(Step.SEND_ELSEWHERE);
    assertThat(endAttempt(decider, AttemptResult.LOST)).isEqualTo(Step.OUTCOME_UNKNOWN);
  }

  @Test
  void should_report_an_unknown_outcome_when_an_earlier_server_may_have_run_the_request() {
    RetryDecider decider = decider(true, 3);
    endAttempt(decider, AttemptResult.LOST);
    assertThat(decider.stepIfNoServerLeft()).isEqualTo(Step.OUTCOME_UNKNOWN);
  }

  @Test
  void should_count_a_request_as_possibly_run_when_it_is_being_written_to_a_server() {
    RetryDecider decider = decider(false, 1);
    decider.onChosen("server");
    assertThat(decider.mayHaveRun()).isFalse();
    decider.onSending();
    assertThat(decider.mayHaveRun()).isTrue();
  }

  @Test
  void should_refuse_as_not_run_when_no_server_could_be_reached() {
    RetryDecider decider = decider(false, 1);
    Step step = Step.SEND_ELSEWHERE;
    while (step == Step.SEND_ELSEWHERE) {
      step = endAttempt(decider, AttemptResult.NOT_SENT);
    }
    assertThat(step).isEqualTo(Step.REFUSE_NOT_RUN);
  }

  @Test
  void should_not_exceed_the_retry_budget_when_responses_are_lost() {
    ServiceRetryBudgets smallBudget = new ServiceRetryBudgets(0.2, 1);
    int retries = 0;
    for (int i = 0; i < 1_000; i++) {
      RetryDecider decider = new RetryDecider(route(true, 2), "shop", smallBudget);
      retries += endAttempt(decider, AttemptResult.LOST) == Step.SEND_ELSEWHERE ? 1 : 0;
    }
    assertThat(retries).isBetween(100, 200);
  }

  // Guards against a body that was streamed to a relay instance and is sent again without its
  // beginning.
  @Test
  void should_refuse_as_not_run_when_nothing_was_sent_but_the_streamed_body_is_used_up() {
    RetryDecider decider = decider(true, 2);
    decider.onSending();

    assertThat(decider.onAttemptEnded(AttemptResult.NOT_SENT, true, false))
        .isEqualTo(Step.REFUSE_NOT_RUN);
  }
}
