package org.bambooarch.entry.operators;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * The HTTP server on the operators' port, apart from the callers' port.
 *
 * <p>Paths: {@code /health} answers while the process runs, {@code /ready} answers 200 or 503 with
 * the reason, {@code /metrics} holds the Prometheus metrics and {@code /dump} the state as JSON.
 */
public final class OperatorsServer implements AutoCloseable {

  /** Path that answers 200 while the process runs. */
  public static final String HEALTH_PATH = "/health";

  /** Path that answers 200 if the instance takes new requests, else 503. */
  public static final String READY_PATH = "/ready";

  /** Path of the Prometheus metrics. */
  public static final String METRICS_PATH = "/metrics";

  /** Path of the state dump. */
  public static final String DUMP_PATH = "/dump";

  private static final MediaType PROMETHEUS_TEXT =
      MediaType.parse("text/plain; version=0.0.4; charset=utf-8");

  private final Supplier<Readiness> readiness;
  private final StateDump dump;
  private final EntryMetrics metrics;
  private final Server server;

  private OperatorsServer(
      String host, int port, Supplier<Readiness> readiness, StateDump dump, EntryMetrics metrics) {
    this.readiness = readiness;
    this.dump = dump;
    this.metrics = metrics;
    this.server =
        Server.builder()
            .http(new InetSocketAddress(host, port))
            .service(HEALTH_PATH, (context, request) -> HttpResponse.of("healthy\n"))
            .service(READY_PATH, (context, request) -> ready())
            .service(METRICS_PATH, (context, request) -> metrics())
            .service(DUMP_PATH, (context, request) -> dump())
            .build();
  }

  /** Returns a server that is not started yet; port 0 takes any free port. */
  public static OperatorsServer create(
      String host, int port, Supplier<Readiness> readiness, StateDump dump, EntryMetrics metrics) {
    return new OperatorsServer(host, port, readiness, dump, metrics);
  }

  /** Starts to listen; fails with the cause if the port is in use. */
  public void start() {
    server.start().join();
  }

  /** Returns the port on which it listens. */
  public int port() {
    return server.activeLocalPort();
  }

  @Override
  public void close() {
    server.stop().join();
  }

  private HttpResponse ready() {
    return switch (readiness.get()) {
      case Readiness.Ready ready -> HttpResponse.of("ready\n");
      case Readiness.NotReady notReady ->
          HttpResponse.of(
              HttpStatus.SERVICE_UNAVAILABLE,
              MediaType.PLAIN_TEXT_UTF_8,
              "not ready: " + notReady.reason() + "\n");
    };
  }

  private HttpResponse metrics() throws IOException {
    return HttpResponse.of(HttpStatus.OK, PROMETHEUS_TEXT, metrics.toText());
  }

  private HttpResponse dump() throws JsonProcessingException {
    return HttpResponse.of(HttpStatus.OK, MediaType.JSON, dump.toJson());
  }
}
