package org.bambooarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bambooarch.core.key.KeyCheck;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.entry.control.ControlLoop;
import org.bambooarch.entry.operators.EntryMetrics;
import org.bambooarch.entry.operators.OperatorsServerFactory;
import org.bambooarch.entry.operators.Readiness;
import org.bambooarch.store.http.HttpPlatformClient;
import org.junit.jupiter.api.Test;

/**
 * Compares the alerts, metrics and exit codes that the operators' pages list with those that the
 * alert rules and the program define.
 */
class OperatorPageTablesTest {

  private static final Path PAGES = Path.of("..", "docs", "operators");
  private static final Pattern ALERT = Pattern.compile("(?m)^      - alert: (\\w+)$");
  private static final Pattern ALERT_ROW = Pattern.compile("(?m)^\\| `(\\w+)` \\|");
  private static final Pattern METRIC = Pattern.compile("\\bbambooarch_[a-z_]+");
  private static final Pattern REGISTERED_METRIC =
      Pattern.compile("(?m)^# TYPE (bambooarch_[a-z_]+) ");

  @Test
  void should_explain_each_alert_when_the_rules_define_it() throws IOException {
    assertThat(matchesInPage(ALERT_ROW, "alerts.md"))
        .isNotEmpty()
        .containsExactlyElementsOf(matchesInPage(ALERT, "alerts.yaml"));
  }

  @Test
  void should_name_only_registered_metrics_when_rules_or_pages_name_metrics() throws IOException {
    Set<String> registered = registeredMetrics();
    assertThat(matchesInPage(METRIC, "dump-and-metrics.md")).isEqualTo(registered);
    assertThat(registered).containsAll(matchesInPage(METRIC, "alerts.yaml"));
  }

  @Test
  void should_list_each_exit_code_when_the_index_page_is_read() throws IOException {
    for (ExitCode code : ExitCode.values()) {
      assertThat(PAGES.resolve("index.md")).content().contains("| " + code.code() + " | ");
    }
  }

  private static Set<String> registeredMetrics() throws IOException {
    EntryMetrics metrics = new EntryMetrics();
    EntrySettings settings =
        new EntrySettings("entry-1", "kochi-a", "127.0.0.1", 0, 0, 0, "http://127.0.0.1:1", 1);
    KeyCheck keyCheck = KeyCheck.acceptingNothing(SystemClock.systemClock());
    HttpPlatformClient platform =
        HttpPlatformClient.create(settings.platformUri(), Duration.ofMillis(1));
    try (ControlLoop control =
        ControlLoop.create(settings, platform, keyCheck, SystemClock.systemClock())) {
      OperatorsServerFactory.create(settings, control, Readiness.Ready::new, () -> 0, metrics);
      return matches(REGISTERED_METRIC, metrics.toText());
    }
  }

  private static Set<String> matchesInPage(Pattern pattern, String page) throws IOException {
    return matches(pattern, Files.readString(PAGES.resolve(page)));
  }

  private static Set<String> matches(Pattern pattern, String text) {
    Set<String> found = new TreeSet<>();
    Matcher matcher = pattern.matcher(text);
    while (matcher.find()) {
      found.add(matcher.group(matcher.groupCount()));
    }
    return found;
  }
}
