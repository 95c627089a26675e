package org.bambooarch.gateway.warmup;

import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.bambooarch.gateway.spi.ClientRequestHeaders;
import org.bambooarch.gateway.spi.RequestFormat;
import org.bambooarch.gateway.spi.ServerRequestHeaders;
import org.bambooarch.gateway.spi.ServerResponseHeaders;

/** A format that takes every response for one of a server, as the warm-up's server has no mark. */
record WarmUpFormat(RequestFormat format) implements RequestFormat {

  @Override
  public ClientRequestHeaders readClientRequest(RequestHeaders headers) {
    return format.readClientRequest(headers);
  }

  @Override
  public HttpHeaders toServerRequest(RequestHeaders fromClient, ServerRequestHeaders added) {
    return format.toServerRequest(fromClient, added);
  }

  @Override
  public HttpHeaders toServerRequest(RequestHeaders relayed, long timeoutMillis) {
    return format.toServerRequest(relayed, timeoutMillis);
  }

  @Override
  public Optional<String> relayedCustomer(RequestHeaders relayed) {
    return format.relayedCustomer(relayed);
  }

  @Override
  public ServerResponseHeaders readServerResponse(HttpResponse head) {
    ServerResponseHeaders headers = format.readServerResponse(head);
    return new ServerResponseHeaders(
        headers.requestId(),
        true,
        headers.notRun(),
        headers.misdirected(),
        headers.leaving(),
        headers.load(),
        headers.keepAliveMillis(),
        headers.limitPerSecond(),
        headers.restMillis());
  }

  @Override
  public ResponseHeaders toClientResponse(HttpResponse head) {
    return format.toClientResponse(head);
  }

  @Override
  public ResponseHeaders toRelayedResponse(HttpResponse head) {
    return format.toRelayedResponse(head);
  }

  @Override
  public ResponseHeaders refusalHeaders(int status, long retryAfterMillis, String requestId) {
    return format.refusalHeaders(status, retryAfterMillis, requestId);
  }
}
