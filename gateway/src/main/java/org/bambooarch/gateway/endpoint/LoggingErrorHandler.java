package org.bambooarch.gateway.endpoint;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.annotation.Nullable;
import com.linecorp.armeria.server.ServerErrorHandler;
import com.linecorp.armeria.server.ServiceConfig;
import com.linecorp.armeria.server.ServiceRequestContext;
import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.RequestEventLog;

/**
 * Logs and counts the errors with which Armeria's HTTP server answers requests itself: requests
 * that it cannot read, and exceptions of services. The responses are Armeria's.
 */
public final class LoggingErrorHandler implements ServerErrorHandler {

  private static final String CAUSE = "http-error";

  private final ServerErrorHandler armeriaHandler = ServerErrorHandler.ofDefault();
  private final RequestEventLog log;
  private final GatewayMetrics metrics;

  /** Creates the handler of one server; used on its event loop only. */
  public LoggingErrorHandler(RequestEventLog log, GatewayMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  @Override
  public HttpResponse onServiceException(ServiceRequestContext context, Throwable cause) {
    if (log.tryAcquireLine(CAUSE)) {
      log.write(
          "event=service-exception path=%s cause=\"%s\""
              .formatted(pathOf(context.request().headers()), cause));
    }
    return armeriaHandler.onServiceException(context, cause);
  }

  @Override
  public AggregatedHttpResponse onProtocolViolation(
      ServiceConfig config,
      @Nullable RequestHeaders headers,
      HttpStatus status,
      @Nullable String description,
      @Nullable Throwable cause) {
    metrics.onHttpError(status.code());
    if (log.tryAcquireLine(CAUSE)) {
      log.write(
          "event=request-unreadable status=%d path=%s description=\"%s\" cause=\"%s\""
              .formatted(
                  status.code(), headers == null ? "-" : pathOf(headers), description, cause));
    }
    return armeriaHandler.onProtocolViolation(config, headers, status, description, cause);
  }

  private static String pathOf(RequestHeaders headers) {
    return RawRequestUri.restore(headers).path();
  }
}
