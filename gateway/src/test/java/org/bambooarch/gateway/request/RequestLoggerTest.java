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
            HomeRegions.ALL,
            List.of(new WeightedService("shop", 1)));
    return new RequestLogger(
        context,
        new ClientRequestHeaders(id, OptionalLong.empty(), Optional.empty(), Optional.empty()),
        route,
        "shop",
        Optional.empty());
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
}
