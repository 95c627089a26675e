package org.bambooarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QuickstartTest {

  private static final int CUSTOMERS = 8;
  private static final int REQUESTS_OF_EACH = 9;

  @ParameterizedTest
  @ValueSource(strings = {"swatchnet", "blue-mahoe"})
  @Timeout(120)
  void should_answer_every_request_when_the_quickstart_runs(String example) {
    // given
    OperatorSession session = new OperatorSession();
    int sent = CUSTOMERS * REQUESTS_OF_EACH;
    // when
    ExitCode exitCode =
        session.run(
            "quickstart --inventory ../examples/" + example + " --requests " + REQUESTS_OF_EACH);
    // then
    assertThat(session.lastOutput())
        .contains("summary sent=" + sent + " answered=" + sent + " ")
        .containsPattern("p50Millis=\\d+\\.\\d\\d p99Millis=\\d+\\.\\d\\d")
        .contains("refused on an open connection after");
    assertThat(exitCode).isEqualTo(ExitCode.DONE);
  }
}
