package org.bambooarch.gateway.bodypath;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random orders of events between clients and servers; docs/design/body-path.md says what is played
 * and checked. Other seeds: {@code -Dbodypath.seeds=1-1000}.
 */
class BodyPathRandomTest {

  private static final String DEFAULT_SEEDS = "1-40";

  @Test
  void should_end_every_request_once_in_any_order_of_events() {
    expectNoViolations(BodyPathRun::new);
  }

  // Regression: a second answer to an earlier attempt was taken for that to a later one with its
  // id.
  @Test
  void
      should_pass_on_the_own_answer_of_every_attempt_when_clients_repeat_ids_and_servers_answers() {
    expectNoViolations(BodyPathRun::withRepeatedIds);
  }

  private static void expectNoViolations(LongFunction<BodyPathRun> runOf) {
    String[] range = System.getProperty("bodypath.seeds", DEFAULT_SEEDS).split("-", 2);
    List<Long> failedSeeds = new ArrayList<>();
    String firstReport = "";
    for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
      String report = runOf.apply(seed).play().orElse("");
      if (firstReport.isEmpty()) {
        firstReport = report;
      }
      if (!report.isEmpty()) {
        failedSeeds.add(seed);
      }
    }

    assertThat(failedSeeds).as(firstReport).isEmpty();
  }

  // Regression: a request ended a second time when the client's connection broke while the response
  // was written, and its server's count of own requests fell below zero.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 6, 14, 15, 17})
  void should_end_a_request_once_when_the_client_breaks_while_its_response_is_written(long seed) {
    assertThat(new BodyPathRun(seed).play()).isEmpty();
  }

  // Regression: a client was told that its request had not run, by a second server, after the first
  // one had run it.
  @ParameterizedTest
  @ValueSource(longs = {4, 257, 292})
  void should_not_pass_on_that_a_request_did_not_run_when_an_earlier_server_ran_it(long seed) {
    assertThat(new BodyPathRun(seed).play()).isEmpty();
  }
}
