package org.bambooarch.gateway.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.steering.fleet.DirectoryAnswer;
import org.bambooarch.core.steering.fleet.DirectoryLookup;
import org.bambooarch.core.steering.fleet.DirectoryScope;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.bambooarch.core.steering.fleet.QuotaTolerance;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.GatewaySettings;
import org.bambooarch.gateway.ListAgeBounds;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.control.StopSchedule;
import org.bambooarch.gateway.observability.AsyncLineWriter;
import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.RequestEventLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 20, unit = TimeUnit.SECONDS)
class LookupLoggerTest {

  private static final String LAST_LINE = "last line";
  private static final DirectoryLookup FROM_SOUTH =
      new DirectoryLookup("shop.example", "south", "south-a");

  private final ManualClock clock = ManualClock.startingAtZero();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final AsyncLineWriter writer = new AsyncLineWriter(new PrintStream(output));
  private final RequestEventLog requestLog = new RequestEventLog(writer, "entry-1", clock);
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final ControlState state = state();
  private final LookupLogger logger = new LookupLogger(state, requestLog, metrics);

  private ControlState state() {
    InetSocketAddress any = new InetSocketAddress(0);
    GatewaySettings settings =
        new GatewaySettings(
            instance("entry-1", "north"),
            any,
            any,
            any,
            any,
            any,
            Map.of("north-a", "north"),
            0.2,
            60,
            new QuotaTolerance(5, 0.1, 20),
            2_000,
            6_000,
            new ListAgeBounds(2_000, 2_000, 3_000));
    return new ControlState(settings, clock);
  }

  private static InstanceIdentity instance(String name, String region) {
    return new InstanceIdentity(name, 1, region, region + "-a", name + ":80", name + ":90");
  }

  private void hear(String name, String region, boolean takesCallers, boolean partitioned) {
    state.onHeartbeat(
        new Heartbeat(
            instance(name, region),
            takesCallers,
            0,
            partitioned,
            1,
            ListVersions.NONE,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            List.of()));
  }

  private void answer(DirectoryScope scope, String... addresses) {
    logger.onAnswered(FROM_SOUTH, new DirectoryAnswer(List.of(addresses), scope));
  }

  private String written() {
    writer.offer(LAST_LINE);
    while (true) {
      String text = output.toString(StandardCharsets.UTF_8);
      if (text.contains(LAST_LINE)) {
        return text;
      }
      Thread.onSpinWait();
    }
  }

  // Regression: no line told what a look-up was answered, and why.
  @Test
  void should_log_what_it_knows_of_the_callers_region_when_it_names_another_one() {
    state.fleet().onListed(instance("unheard", "south"), clock.monotonicNanos());
    hear("silent", "south", true, false);
    clock.advanceMillis(2_300);
    hear("stopping", "south", false, false);
    hear("cut", "south", true, true);
    hear("near", "north", true, false);

    answer(DirectoryScope.ANY_REGION, "near:80");

    assertThat(written())
        .contains(
            "event=lookup-answered scope=any-region host=shop.example region=south"
                + " data-centre=south-a addresses=1 self-region=north self-ready=false"
                + " stopping=false partitioned=false up-millis=2300 list-read=false known=5"
                + " live=3 region-known=4 region-unheard=1"
                + " region-live=2 region-taking=1 region-partitioned=1");
  }

  @Test
  void should_log_that_the_instance_is_stopping_when_it_names_none_of_the_callers_region() {
    state.beginShutdown(StopSchedule.from(clock.monotonicNanos(), 6_000));

    answer(DirectoryScope.NONE);

    assertThat(written()).contains("scope=none ").contains(" stopping=true ");
  }

  @Test
  void should_only_count_answers_when_they_name_the_callers_data_centre_or_region()
      throws Exception {
    answer(DirectoryScope.DATA_CENTRE, "a:80");
    answer(DirectoryScope.REGION, "a:80");

    assertThat(written()).doesNotContain("lookup-answered");
    assertThat(metrics.toText())
        .contains("bambooarch_lookups_total{scope=\"data-centre\"} 1.0")
        .contains("bambooarch_lookups_total{scope=\"region\"} 1.0");
  }

  @Test
  void should_count_all_answers_and_limit_their_lines_when_many_name_another_region()
      throws Exception {
    for (int i = 0; i < 100; i++) {
      answer(DirectoryScope.ANY_REGION, "a:80");
    }
    answer(DirectoryScope.NONE);
    clock.advanceMillis(1_000);
    requestLog.tick();

    String text = written();
    assertThat(text.lines().filter(line -> line.contains("scope=any-region"))).hasSize(10);
    assertThat(text)
        .contains("scope=none ")
        .contains("event=lines-suppressed cause=lookup-any-region lines=90");
    assertThat(metrics.toText()).contains("bambooarch_lookups_total{scope=\"any-region\"} 100.0");
  }

  @Test
  void should_log_a_place_as_one_word_when_a_caller_states_any_text() {
    logger.onAnswered(
        new DirectoryLookup("x y", "a \"b=" + "x".repeat(100), ""),
        new DirectoryAnswer(List.of(), DirectoryScope.NONE));

    assertThat(written())
        .contains(" host=x?y region=a??b=%s data-centre=- addresses=0 ".formatted("x".repeat(59)));
  }
}
