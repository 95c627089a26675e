package org.bambooarch.gateway.bodypath;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Random orders of events between clients and servers; docs/design/body-path.md says what is played
 * and checked. Other seeds: {@code -Dbodypath.seeds=1-1000}.
 */
class BodyPathRandomTest {

  private static final String DEFAULT_SEEDS = "1-40";

  @Test
  void should_end_every_request_once_in_any_order_of_events() {
    String[] range = System.getProperty("bodypath.seeds", DEFAULT_SEEDS).split("-", 2);
    List<Long> failedSeeds = new ArrayList<>();
    String firstReport = "";
    for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
      String report = new BodyPathRun(seed).play().orElse("");
      if (firstReport.isEmpty()) {
        firstReport = report;
      }
      if (!report.isEmpty()) {
        failedSeeds.add(seed);
      }
    }

    assertThat(failedSeeds).as(firstReport).isEmpty();
  }
}
