package org.bambooarch.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.steering.RetryDecider;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.WeightedService;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.QuotaTolerance;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.GatewaySettings;
import org.bambooarch.gateway.ListAgeBounds;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.observability.AsyncLineWriter;
import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.RequestEventLog;
import org.bambooarch.gateway.observability.RequestOutcome;
import org.bambooarch.gateway.spi.ClientRequestHeaders;
import org.bambooarch.gateway.target.ConnectionHistory;
import org.bambooarch.gateway.target.ConnectionUse;
import org.bambooarch.gateway.target.RequestTime;
import org.bambooarch.gateway.target.SkippedResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What the log says of the attempts of a request, and which answered requests it has. */
@Timeout(value = 20, unit = TimeUnit.SECONDS)
class RequestLoggerTest {

  private static final String LAST_LINE = "last line";

  private final ManualClock clock = ManualClock.startingAtZero();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final AsyncLineWriter writer = new AsyncLineWriter(new PrintStream(output));
  private final RequestEventLog requestLog = new RequestEventLog(writer, "entry-1", clock);
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final GatewayContext context = context();
  private final ServerState server = server();
  private final ConnectionHistory connection = new ConnectionHistory();

  private GatewayContext context() {
    InetSocketAddress any = new InetSocketAddress(0);
    GatewaySettings settings =
        new GatewaySettings(
            new InstanceIdentity("entry-1", 1, "north", "north-a", "a:1", "a:2"),
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
    return new GatewayContext(
        new ControlState(settings, clock),
        null,
        null,
        null,
        null,
        null,
        metrics,
        requestLog,
        null,
        null,
        null);
  }

  private ServerState server() {
    context
        .state()
        .servers()
        .replaceAll(
            List.of(new ServerEntry("i-a", "shop", "10.0.0.1", 80, "north-a", 8, false, 0, 0)),
            0,
            clock.monotonicNanos());
    return context.state().servers().find("i-a").orElseThrow();
  }

  private RequestLogger newLogger(String id) {
    return newLogger(id, HomeRegions.ALL);
  }

  /** Returns the logger of a request that was admitted by version 7. */
  private RequestLogger newLogger(String id, HomeRegions homes) {
    ServiceRoute route =
        new ServiceRoute(
            "lookup",
            "h",
            "/",
            true,
            2_000,
            1_000,
            3,
            0,
            true,
            false,
            homes,
            List.of(new WeightedService("shop", 1)));
    return new RequestLogger(
        context,
        new ClientRequestHeaders(id, OptionalLong.empty(), Optional.empty(), Optional.empty()),
        route,
        "shop",
        Optional.empty(),
        homes,
        7);
  }

  private static InstanceIdentity relayIn(String region) {
    return new InstanceIdentity("entry-2", 1, region, region + "-a", "b:1", "b:2");
  }

  private void sendThrough(RequestLogger logger, Optional<InstanceIdentity> relay) {
    logger.onChoseRelay(relay);
    logger.onChosen(server, relay);
    logger.onAttempt(sentAttempt("i-a", 1, 200));
  }

  private AttemptTrace sentAttempt(String serverId, long order, int status) {
    AttemptTrace trace = new AttemptTrace(serverId);
    trace.onConnection(new ConnectionUse(connection, order));
    trace.onResponseHead(status);
    return trace;
  }

  private void finishAnswered(RequestLogger logger, int sends) {
    logger.onFinished(
        RequestOutcome.ANSWERED,
        200,
        "",
        Optional.of(server),
        sends,
        0,
        new RequestTimeline(RequestTime.of(0, 1_000), 0));
  }

  /** Logs the request that the sampling takes, so that the next ones are not taken. */
  private void useUpSample() {
    requestLog.shouldSampleAnswered();
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

  // Regression: the line about an answered request did not tell the attempts before the last.
  @Test
  void should_log_all_attempts_in_order_when_a_request_is_answered_after_a_failure() {
    useUpSample();
    RequestLogger logger = newLogger("r1");
    logger.onAttempt(sentAttempt("i-a", 3, 500));
    logger.onAttemptFailed(
        server,
        RetryDecider.AttemptResult.FAILED,
        "server-failure",
        RetryDecider.Step.SEND_ELSEWHERE);
    logger.onAttempt(sentAttempt("i-b", 1, 200));
    finishAnswered(logger, 2);

    String number = "c" + connection.number();
    assertThat(written())
        .contains(
            "event=request-finished request=r1"
                + " attempts=i-a:failed:500:%s/3,i-b:answered:200:%s/1 route="
                    .formatted(number, number));
  }

  // Regression: requests answered after a failed attempt were sampled one in 64.
  @Test
  void should_log_each_request_when_it_is_answered_after_a_failure() {
    useUpSample();
    for (int i = 0; i < 5; i++) {
      RequestLogger logger = newLogger("r" + i);
      logger.onAttempt(sentAttempt("i-a", 1, 0));
      logger.onAttempt(sentAttempt("i-b", 1, 200));
      finishAnswered(logger, 2);
    }

    assertThat(written()).contains("request=r0 ", "request=r2 ", "request=r4 ");
  }

  @Test
  void should_sample_requests_when_the_attempts_before_sent_nothing() {
    useUpSample();
    RequestLogger logger = newLogger("r1");
    logger.onAttempt(new AttemptTrace("i-b"));
    logger.onAttempt(sentAttempt("i-a", 1, 200));
    finishAnswered(logger, 1);

    assertThat(written()).doesNotContain("request=r1");
  }

  // Regression: a request whose connection had another request's response was sampled one in 64.
  @Test
  void should_log_the_request_when_its_connection_has_had_a_response_of_another_one() {
    useUpSample();
    AttemptTrace trace = new AttemptTrace("i-a");
    trace.onConnection(connection.onRequest("r1"));
    connection.onOtherRequestAnswered("r0", 500);
    trace.onResponseHead(200);
    RequestLogger logger = newLogger("r1");
    logger.onAttempt(trace);
    finishAnswered(logger, 1);

    assertThat(written())
        .contains(
            "request=r1 attempts=i-a:answered:200:c%d/1 skipped-responses=1 "
                .formatted(connection.number()));
  }

  @Test
  void should_name_the_last_attempts_and_count_the_others_when_there_are_many() {
    AttemptTraces traces = new AttemptTraces();
    for (int i = 0; i < AttemptTraces.MAX_NAMED + 2; i++) {
      traces.add(sentAttempt("i-" + i, 1, 500));
      traces.onLastEnded("failed");
    }

    assertThat(traces.describe())
        .startsWith("attempts=i-2:failed:500:")
        .endsWith(" earlier-attempts=2");
    assertThat(traces.wasSentBeforeLast()).isTrue();
  }

  @Test
  void should_log_and_count_a_skipped_response_as_words_when_a_server_sends_any_text()
      throws Exception {
    new SkippedResponseLogger(requestLog, metrics)
        .onResponseSkipped(
            "i-a",
            new SkippedResponse(
                new ConnectionUse(connection, 4),
                SkippedResponse.Reason.OTHER_REQUEST,
                "a \"b=" + "x".repeat(100),
                500,
                "r1"));

    assertThat(written())
        .contains(
            "event=response-skipped request=r1 received=a??b=%s status=500 reason=other-request"
                    .formatted("x".repeat(59))
                + " server=i-a connection=c%d/4".formatted(connection.number()));
    assertThat(metrics.toText())
        .contains("bambooarch_skipped_responses_total{reason=\"other-request\"} 1.0");
  }

  // Regression: no line told in which regions a request may run, and in which ones it ran.
  @Test
  void should_log_homes_and_regions_when_a_request_with_homes_finishes() {
    RequestLogger logger = newLogger("r1", HomeRegions.ofListed(List.of("south", "north")));
    sendThrough(logger, Optional.of(relayIn("south")));
    finishAnswered(logger, 1);

    assertThat(written())
        .contains(
            " took-millis=0 server-region=north relay-region=south homes=north,south"
                + " self-region=north via=entry-2 config=0 admitted-by=7 ")
        .doesNotContain("outside-homes");
  }

  @Test
  void should_log_the_servers_region_without_homes_when_all_regions_are_homes() {
    RequestLogger logger = newLogger("r1");
    sendThrough(logger, Optional.empty());
    finishAnswered(logger, 1);

    assertThat(written())
        .contains(" took-millis=0 server-region=north config=")
        .doesNotContain("homes=")
        .doesNotContain("outside-homes");
  }

  @Test
  void should_log_no_region_of_a_server_when_none_was_chosen() {
    RequestLogger logger = newLogger("r1", new HomeRegions.Only(Set.of()));
    logger.onFinished(
        RequestOutcome.NO_ROOM,
        503,
        "",
        Optional.empty(),
        0,
        0,
        new RequestTimeline(RequestTime.of(0, 1_000), 0));

    assertThat(written()).contains(" server-region=- homes=- self-region=north ");
  }

  // Regression: no line told that a request was sent to a region that is none of its homes.
  @Test
  void should_log_the_attempt_when_its_server_is_outside_the_homes() {
    useUpSample();
    RequestLogger logger = newLogger("r1", HomeRegions.ofListed(List.of("south")));
    sendThrough(logger, Optional.empty());
    finishAnswered(logger, 1);

    assertThat(written())
        .contains(
            "event=outside-homes request=r1 route=lookup service=shop customer=- server=i-a"
                + " server-region=north homes=south self-region=north config=0 admitted-by=7")
        .contains("event=request-finished request=r1 ");
  }

  @Test
  void should_log_the_attempt_when_its_relay_is_outside_the_homes() {
    useUpSample();
    RequestLogger logger = newLogger("r1", HomeRegions.ofListed(List.of("north")));
    sendThrough(logger, Optional.of(relayIn("south")));
    finishAnswered(logger, 1);

    assertThat(written())
        .contains("event=outside-homes request=r1 ")
        .contains(
            " server-region=north relay-region=south homes=north self-region=north via=entry-2 ");
  }

  @Test
  void should_limit_the_lines_about_attempts_outside_the_homes_when_there_are_many() {
    for (int i = 0; i < 30; i++) {
      sendThrough(newLogger("r" + i, HomeRegions.ofListed(List.of("south"))), Optional.empty());
    }
    clock.advanceMillis(1_000);
    requestLog.tick();

    String text = written();
    assertThat(text.lines().filter(line -> line.contains("event=outside-homes"))).hasSize(10);
    assertThat(text).contains("event=lines-suppressed cause=outside-homes lines=20");
  }
}
