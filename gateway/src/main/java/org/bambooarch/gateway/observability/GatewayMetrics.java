package org.bambooarch.gateway.observability;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.DoubleSupplier;
import org.bambooarch.core.steering.fleet.DirectoryScope;

/** The Prometheus metrics of one instance. */
public final class GatewayMetrics {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double[] LATENCY_BOUNDS_SECONDS = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 10, 20
  };

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final PrometheusTextFormatWriter textWriter =
      PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();
  private final Counter requests =
      Counter.builder()
          .name("bambooarch_requests")
          .help("Requests of callers by outcome.")
          .labelNames("outcome")
          .register(registry);
  private final Counter sends =
      Counter.builder()
          .name("bambooarch_sends")
          .help("Requests sent to servers, further sends included.")
          .register(registry);
  private final Counter serverErrors =
      Counter.builder()
          .name("bambooarch_http_errors")
          .help("Requests that the HTTP server answered itself, by status.")
          .labelNames("status")
          .register(registry);
  private final Counter relayedRequests =
      Counter.builder()
          .name("bambooarch_relayed_requests")
          .help("Requests of other instances that were to be forwarded to servers.")
          .register(registry);
  private final Counter skippedResponses =
      Counter.builder()
          .name("bambooarch_skipped_responses")
          .help("Responses of servers that were passed on to no request, by reason.")
          .labelNames("reason")
          .register(registry);
  private final Counter lookups =
      Counter.builder()
          .name("bambooarch_lookups")
          .help("Look-ups by how near to the caller the instances are that the answer names.")
          .labelNames("scope")
          .register(registry);
  private final Histogram latency =
      Histogram.builder()
          .name("bambooarch_request_seconds")
          .help("Time from the head of a request to the end of its answer.")
          .classicOnly()
          .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
          .labelNames("outcome")
          .register(registry);

  /** Registers a gauge whose value is read at each scrape, on the scraping thread. */
  public void registerGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Counts a finished request, and records the nanoseconds that it took. */
  public void onRequestFinished(RequestOutcome outcome, long durationNanos) {
    String label = labelOf(outcome);
    requests.labelValues(label).inc();
    latency.labelValues(label).observe(durationNanos / NANOS_PER_SECOND);
  }

  /** Counts a request sent to a server, retries included. */
  public void onRequestSent() {
    sends.inc();
  }

  /** Counts a request that the HTTP server answered itself, before or instead of a service. */
  public void onHttpError(int status) {
    serverErrors.labelValues(Integer.toString(status)).inc();
  }

  /** Counts a request that another instance relays through this one. */
  public void onRelayedRequest() {
    relayedRequests.inc();
  }

  /** Counts a response that was passed on to no request. */
  public void onResponseSkipped(String reason) {
    skippedResponses.labelValues(reason).inc();
  }

  /** Counts a look-up by the scope of its answer. */
  public void onLookup(DirectoryScope scope) {
    lookups.labelValues(labelOf(scope)).inc();
  }

  /** Returns the name of a constant in logs and metric labels, for example {@code no-route}. */
  public static String labelOf(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns all metrics in the Prometheus text format; reads the gauges on the calling thread. */
  public String toText() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    textWriter.write(bytes, registry.scrape());
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
