package org.bambooarch.entry.operators;

import com.linecorp.armeria.common.logging.RequestLog;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.bambooarch.entry.request.ProblemResponses;

/**
 * The Prometheus metrics of one entry instance.
 *
 * <p>Each instance has a registry of its own, so that several may run in one process.
 */
public final class EntryMetrics {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double[] LATENCY_BOUNDS_SECONDS = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 60, 600
  };

  private static final List<String> OUTCOMES = List.of("answered", "not-run", "unknown");

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final PrometheusTextFormatWriter writer =
      PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();
  private final Counter requests =
      Counter.builder()
          .name("bambooarch_requests")
          .help("Requests of callers by HTTP status and outcome: answered, not-run or unknown.")
          .labelNames("status", "outcome")
          .register(registry);
  private final Histogram latency =
      Histogram.builder()
          .name("bambooarch_request_seconds")
          .help("Time from the first byte of a request to the last byte of its answer.")
          .classicOnly()
          .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
          .labelNames("outcome")
          .register(registry);

  /** Creates metrics whose series start at zero, so that the first increase is seen. */
  public EntryMetrics() {
    requests.initLabelValues("200", "answered");
    for (String outcome : OUTCOMES) {
      latency.initLabelValues(outcome);
    }
  }

  /** Registers a value that is read whenever the metrics are. */
  public EntryMetrics addGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
    return this;
  }

  /** Returns the registry, for metrics that other packages own. */
  public PrometheusRegistry registry() {
    return registry;
  }

  /** Returns all metrics in the Prometheus text format. */
  public String toText() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    writer.write(bytes, registry.scrape());
    return bytes.toString(StandardCharsets.UTF_8);
  }

  /** Counts one finished request. */
  void recordRequest(RequestLog log) {
    String status = log.responseHeaders().status().codeAsText();
    String outcome = log.responseHeaders().get(ProblemResponses.OUTCOME_HEADER, "answered");
    requests.labelValues(status, outcome).inc();
    latency.labelValues(outcome).observe(log.totalDurationNanos() / NANOS_PER_SECOND);
  }
}
